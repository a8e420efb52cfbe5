#ifndef ENDIVEHINGE_POLICY_TICKET_HPP
#define ENDIVEHINGE_POLICY_TICKET_HPP

#include <cstdint> // uint64_t

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/request.hpp>
#include <endivehinge/core/strong_type.hpp>

namespace endivehinge
{

/// @brief identifies one attempt to admit a request at a controller
using ticket_id = strong_type<struct ticket_id_tag, std::uint64_t>;

/// @brief the properties of a request that admission uses
struct ticket_info
{
    // unique among the tickets offered to the controller
    ticket_id id;
    priority urgency = priority::interactive;
    time_point deadline;
};

} // namespace endivehinge

#endif

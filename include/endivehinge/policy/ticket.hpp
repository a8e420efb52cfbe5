#ifndef ENDIVEHINGE_POLICY_TICKET_HPP
#define ENDIVEHINGE_POLICY_TICKET_HPP

#include <cstdint> // uint64_t

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/request.hpp>
#include <endivehinge/core/strong_type.hpp>

namespace endivehinge
{

/// @brief one try of a request at one admission controller
using ticket_id = strong_type<struct ticket_id_tag, std::uint64_t>;

/// @brief what admission needs to know of a request
struct ticket_info
{
    // unique among those offered to the controller
    ticket_id id;
    priority urgency = priority::interactive;
    time_point deadline;
    // a hedge starts at once or not at all
    bool may_wait = true;
};

} // namespace endivehinge

#endif

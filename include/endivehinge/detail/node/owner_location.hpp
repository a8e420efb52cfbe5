#ifndef ENDIVEHINGE_DETAIL_NODE_OWNER_LOCATION_HPP
#define ENDIVEHINGE_DETAIL_NODE_OWNER_LOCATION_HPP

#include <endivehinge/coordination/member.hpp>
#include <endivehinge/core/ids.hpp>

namespace endivehinge::detail
{

/// @brief the owner of a key, and the epoch by which it is
struct owner_location
{
    member owner;
    epoch number;
};

} // namespace endivehinge::detail

#endif

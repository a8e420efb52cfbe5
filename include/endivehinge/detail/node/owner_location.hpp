#ifndef ENDIVEHINGE_DETAIL_NODE_OWNER_LOCATION_HPP
#define ENDIVEHINGE_DETAIL_NODE_OWNER_LOCATION_HPP

#include <endivehinge/coordination/member.hpp>
#include <endivehinge/core/ids.hpp>

namespace endivehinge::detail
{

/// @brief the owner of a key and the epoch that assigns the key to it
struct owner_location
{
    member owner;
    epoch number;
};

} // namespace endivehinge::detail

#endif

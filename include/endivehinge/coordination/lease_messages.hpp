#ifndef ENDIVEHINGE_COORDINATION_LEASE_MESSAGES_HPP
#define ENDIVEHINGE_COORDINATION_LEASE_MESSAGES_HPP

#include <optional> // optional
#include <string>   // string

#include <endivehinge/coordination/assignment.hpp>
#include <endivehinge/coordination/owner_identity.hpp>
#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief an owner's request to the leader to grant or renew its lease
struct lease_renewal
{
    owner_identity node;
    // the newest adopted epoch; the node no longer acts in earlier ones
    epoch adopted_epoch;
    // the node gives up ownership of all keys
    bool leaving = false;
};

/// @brief the response to a lease_renewal; only the leader grants leases
struct lease_grant
{
    // counts from when the renewal was sent; nothing if not granted
    std::optional<duration> lease_duration;
    // nothing if the responding node has no assignment
    std::optional<assignment> current;
    // whether the responding node is the leader
    bool from_leader = false;
    // why the lease was not granted
    std::string reason;
};

} // namespace endivehinge

#endif

#ifndef ENDIVEHINGE_COORDINATION_LEASE_MESSAGES_HPP
#define ENDIVEHINGE_COORDINATION_LEASE_MESSAGES_HPP

#include <optional> // optional
#include <string>   // string

#include <endivehinge/coordination/assignment.hpp>
#include <endivehinge/coordination/owner_identity.hpp>
#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief a node asks the keeper for its lease
struct lease_renewal
{
    owner_identity node;
    // the newest epoch it has adopted; under older ones it acts no more
    epoch adopted_epoch;
    // it wants to own no keys any more
    bool leaving = false;
};

/// @brief what the asked node knows, and the lease where it is the keeper
struct lease_grant
{
    // counts from when the renewal was sent; nothing: not granted
    std::optional<duration> lease_duration;
    // nothing where the asked node knows none
    std::optional<assignment> current;
    // whether the asked node keeps
    bool from_leader = false;
    // why it was not granted
    std::string reason;
};

} // namespace endivehinge

#endif

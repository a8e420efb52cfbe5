#ifndef ENDIVEHINGE_POLICY_ROLLOUT_GRANT_HPP
#define ENDIVEHINGE_POLICY_ROLLOUT_GRANT_HPP

#include <cstdint> // uint64_t

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/ids.hpp>

namespace endivehinge
{

/// @brief what the node beside a new target may accept
struct rollout_grant
{
    // process lifetime of the node for which it is meant
    incarnation holder;
    // requests accepted since the order, including earlier terms
    std::uint64_t max_accepted = 0;
    // bad responses since the order at which the gate closes
    std::uint64_t max_failures = 0;
    // by the clock of the receiving node
    duration expires_at{0};
};

} // namespace endivehinge

#endif

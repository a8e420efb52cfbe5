#ifndef ENDIVEHINGE_POLICY_ROLLOUT_ELECTION_HPP
#define ENDIVEHINGE_POLICY_ROLLOUT_ELECTION_HPP

#include <optional> // optional
#include <vector>   // vector

#include <endivehinge/core/clock.hpp>
#include <endivehinge/policy/rollout_entry.hpp>

namespace endivehinge
{

/// @brief a node that can coordinate a roll-out
struct rollout_candidate
{
    node_name node;
    // as seen by the deciding node; true for itself
    bool reachable = false;
    // whether its target is ready
    bool ready = false;
};

/// @brief time without a sign of the coordinator after which another node takes
/// over; several polls are missed by then
constexpr duration rollout_takeover_delay = std::chrono::milliseconds(1500);

/// @brief the candidate that should coordinate: the first by rendezvous hash of
/// service and node that is reachable and ready; empty if none is
/// @note pure; thread safety: any thread
[[nodiscard]] std::optional<node_name>
elect_rollout_coordinator(service_name const & service,
                          std::vector<rollout_candidate> const & candidates);

/// @brief whether a node should take the role by a conditional write
/// @param candidates nodes beside targets of the service, with itself
/// @param since_coordinator time since the coordinator of the status was last
/// seen in charge: its last poll, its last status, or the first sight of the
/// order
/// @note pure; thread safety: any thread
[[nodiscard]] bool
should_take_over(node_name const & self,
                 rollout_entry const & entry,
                 std::vector<rollout_candidate> const & candidates,
                 duration since_coordinator);

} // namespace endivehinge

#endif

#ifndef ENDIVEHINGE_POLICY_SLOW_TARGET_ROUNDS_HPP
#define ENDIVEHINGE_POLICY_SLOW_TARGET_ROUNDS_HPP

#include <optional> // optional
#include <vector>   // vector

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/ids.hpp>
#include <endivehinge/policy/slow_target_action.hpp>

namespace endivehinge
{

/// @brief controls the placement of one request while targets are slow
///
/// Handles services whose targets are all slow at the same time. Most slow
/// periods last a fraction of a second. In the first round a slow target
/// declines the request, so that a faster one is found; after a few of them the
/// round ends, however many targets the service has. In later rounds it may
/// wait at each target for the end of the slow period. Once the length of a
/// typical slow period has passed, each target starts the request or refuses
/// it immediately.
/// @note pure; not thread-safe, the owner serialises all calls
class slow_target_rounds
{
public:
    /// @brief what the next target is to do with the request if it is slow
    [[nodiscard]] slow_target_action next_action(time_point now) const;

    /// @brief records that a target did not run the request because it is slow
    /// @param action the action requested of the target; after start_or_refuse
    /// the target is not tried again
    void record_decline(target_id const & target, slow_target_action action);

    /// @brief whether enough targets declined in this round: with more of them
    /// slow, waiting at the best one is faster than trying all others
    [[nodiscard]] bool is_round_over() const;

    /// @brief starts the next round after every target has been tried, or if
    /// the round is over
    /// @return the targets to try again; empty if the request must be refused
    [[nodiscard]] std::vector<target_id> start_next_round(time_point now);

private:
    std::vector<target_id> slow_targets;
    // end of the waiting rounds; empty during the first round
    std::optional<time_point> wait_end;
};

} // namespace endivehinge

#endif

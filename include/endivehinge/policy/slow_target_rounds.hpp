#ifndef ENDIVEHINGE_POLICY_SLOW_TARGET_ROUNDS_HPP
#define ENDIVEHINGE_POLICY_SLOW_TARGET_ROUNDS_HPP

#include <optional> // optional
#include <vector>   // vector

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/ids.hpp>
#include <endivehinge/policy/slow_target_action.hpp>

namespace endivehinge
{

/// @brief how one request passes over targets that are slow
///
/// Answers the load pattern of a service whose targets are all slow at once.
/// Most slow periods last a fraction of a second: the request first looks for
/// a target that is not slow, then waits at one after the other for the end of
/// a period. Once that took as long as a period usually lasts, each target
/// starts the request or refuses it at once.
/// @note pure; thread safety: none, the owner serialises
class slow_target_rounds
{
public:
    /// @brief what the next target may do while it is slow
    [[nodiscard]] slow_target_action next_action(time_point now) const;

    /// @brief a target did not run the request because it is slow
    /// @param asked what the target was asked to do; one that has decided is
    /// not asked again
    void record_decline(target_id const & target, slow_target_action asked);

    /// @brief begins the next round, after every target was asked
    /// @return the targets to be asked again; empty: the request has to be
    /// refused
    [[nodiscard]] std::vector<target_id> start_next_round(time_point now);

private:
    std::vector<target_id> slow;
    // the end of the waits; empty: the first round
    std::optional<time_point> waits_end;
};

} // namespace endivehinge

#endif

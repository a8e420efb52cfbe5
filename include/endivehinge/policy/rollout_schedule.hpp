#ifndef ENDIVEHINGE_POLICY_ROLLOUT_SCHEDULE_HPP
#define ENDIVEHINGE_POLICY_ROLLOUT_SCHEDULE_HPP

#include <cstdint> // uint64_t
#include <string>  // string
#include <vector>  // vector

#include <endivehinge/core/clock.hpp>
#include <endivehinge/policy/rollout_judgement.hpp>
#include <endivehinge/policy/rollout_order.hpp>
#include <endivehinge/policy/rollout_status.hpp>

namespace endivehinge
{

/// @brief what is known of one old target
struct rollout_old_target
{
    // whether it reported in this term that it is closed
    bool closed = false;
    std::uint64_t in_progress = 0;
    // since its last report, or since the begin of the term
    duration since_contact{0};
};

/// @brief what the schedule decides on
struct rollout_situation
{
    rollout_order order;
    // time since the order
    duration elapsed{0};
    rollout_stage stage = rollout_stage::trial;
    double share = 0;
    // time since the store confirmed this share
    duration since_share{0};
    // number of targets of the new version that are ready
    std::size_t new_targets = 0;
    rollout_judgement judgement;
    std::vector<rollout_old_target> old_targets;
};

/// @brief kind of the next step of a roll-out
enum class rollout_action
{
    hold,      // no change
    shift,     // write stage shifting with a greater share
    complete,  // write completed
    roll_back, // end all grants, then write rolled_back
};

/// @brief the next step of a roll-out
struct rollout_step
{
    rollout_action action = rollout_action::hold;
    // share of requests for the new version, with shift
    double share = 0;
    // for operators
    std::string reason;
};

/// @brief the longest time limit that is observed; longer ones are shortened,
/// so that a wrong order ends
constexpr duration max_rollout_length = std::chrono::hours(24);

/// @brief decides the next step of a running roll-out
///
/// Stage trial until the version is judged good, and not before a set part of
/// the time limit, since some faults show only seconds after a start. Then the
/// traffic moves in steps. The version is completed once all old targets are
/// closed with nothing in progress, and rolled back if it is bad, or at the
/// time limit without enough evidence.
/// @note pure; thread safety: any thread
[[nodiscard]] rollout_step next_rollout_step(rollout_situation const & current);

/// @brief time since the order before which no traffic is moved
/// @note pure; thread safety: any thread
[[nodiscard]] duration trial_end_for(rollout_order const & order);

/// @brief share of requests to offer to the new version on trial, so that the
/// targets on trial can be loaded like old ones; the gates limit what they
/// accept
/// @param new_targets number of targets on trial, see
/// choose_rollout_trial_targets()
/// @note pure; thread safety: any thread
[[nodiscard]] double rollout_trial_share(std::size_t new_targets,
                                         std::size_t old_targets);

} // namespace endivehinge

#endif

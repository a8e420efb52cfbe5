#ifndef ENDIVEHINGE_POLICY_ROLLOUT_JUDGE_HPP
#define ENDIVEHINGE_POLICY_ROLLOUT_JUDGE_HPP

#include <deque>  // deque
#include <map>    // map
#include <string> // string
#include <vector> // vector

#include <endivehinge/core/clock.hpp>
#include <endivehinge/policy/rollout_counts.hpp>
#include <endivehinge/policy/rollout_judgement.hpp>

namespace endivehinge
{

/// @brief compares the new version of a service with the old one
///
/// Handles versions that fail a portion of their requests or are several times
/// slower, from their start, some seconds later, under load, or on one route
/// only. Both versions are compared per route over the same time, in all
/// requests and in recent windows, so that recent faults are not hidden by
/// earlier good responses. Where there are two new targets, the fault must also
/// show without the worst one, so that one faulty instance does not condemn a
/// version.
/// @note pure; not thread-safe, the owner serialises all calls
class rollout_judge
{
public:
    explicit rollout_judge(software_version target_version);

    /// @brief records the counts of a target; counts of a node that restarted
    /// begin anew
    /// @param now time of receipt; must not decrease
    void record(rollout_counts const & counts, time_point now);

    /// @brief discards a target that no longer belongs to the service
    void remove(node_name const & node);

    /// @brief the verdict on all evidence up to now
    [[nodiscard]] rollout_judgement judge(time_point now) const;

private:
    using route_table = std::map<std::string, rollout_route_counts>;

    struct snapshot
    {
        time_point taken;
        route_table routes;
    };

    struct target_history
    {
        software_version version;
        incarnation process;
        bool cold = true;
        // sums of earlier process lifetimes, added to all later counts
        route_table ended;
        // counts as last reported, and the sum with earlier lifetimes
        route_table reported;
        route_table current;
        // counts when the target became warm
        route_table at_warm;
        time_point last_report;
        std::deque<snapshot> snapshots;
    };

    struct sample;
    struct window_evidence;

    [[nodiscard]] window_evidence
    collect(time_point now, duration length, bool warm_only) const;

    software_version new_version;
    std::map<node_name, target_history> targets;
};

} // namespace endivehinge

#endif

#ifndef ENDIVEHINGE_POLICY_ROLLOUT_JUDGE_HPP
#define ENDIVEHINGE_POLICY_ROLLOUT_JUDGE_HPP

#include <cstddef> // size_t
#include <cstdint> // int64_t, uint64_t
#include <deque>   // deque
#include <map>     // map
#include <string>  // string

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

    // counts of one new target in one interval
    struct cell
    {
        rollout_route_counts counts;
        std::uint64_t warm_responses = 0;
    };

    // what was reported in one short interval, by route
    struct interval
    {
        std::int64_t index = 0;
        std::map<std::string, std::map<node_name, cell>> new_targets;
        route_table old_targets;
    };

    struct target_history
    {
        software_version version;
        incarnation process;
        // the node's clock at the last report
        duration reported_at{0};
        route_table reported;
        time_point last_report;
    };

    struct comparison;

    [[nodiscard]] interval & interval_at(std::int64_t index);
    void merge_old_intervals(std::int64_t current);
    [[nodiscard]] std::size_t count_new_targets(time_point now) const;
    [[nodiscard]] bool needs_two_targets(time_point now) const;
    [[nodiscard]] comparison compare(std::string const & route,
                                     std::int64_t first_index,
                                     node_name const * left_out) const;
    void judge_route(std::string const & route,
                     std::int64_t first_index,
                     bool needs_two,
                     rollout_judgement & result) const;
    [[nodiscard]] bool is_enough(time_point now,
                                 rollout_judgement & result) const;
    [[nodiscard]] bool are_all_routes_tried() const;

    software_version new_version;
    std::map<node_name, target_history> targets;
    // by time; the first one holds all that is not recent
    std::deque<interval> intervals;
};

} // namespace endivehinge

#endif

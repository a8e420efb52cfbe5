#ifndef ENDIVEHINGE_POLICY_SIGNAL_TABLE_HPP
#define ENDIVEHINGE_POLICY_SIGNAL_TABLE_HPP

#include <optional> // optional
#include <set>      // multiset

#include <absl/container/flat_hash_map.h> // flat_hash_map

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/ids.hpp>
#include <endivehinge/policy/attempt_report.hpp>
#include <endivehinge/policy/latency_moving_average.hpp>
#include <endivehinge/policy/load_signal.hpp>
#include <endivehinge/policy/placement_candidate.hpp>

namespace endivehinge
{

/// @brief load of each node's target as reported to and observed by this node
/// @note thread safety: none; the owner serialises calls
class signal_table
{
public:
    /// @brief records a request sent to a node
    void sent(node_name const & node, time_point now);

    /// @brief records the end of a request
    /// @param report its result; sent_at must equal the time passed to sent
    void ended(node_name const & node,
               attempt_report const & report,
               time_point now);

    /// @brief records a signal received independently of a response
    void record_signal(node_name const & node, load_signal const & signal);

    /// @brief removes all data of a node that has left
    void forget(node_name const & node);

    /// @brief fills in a candidate's load data from its node, local and
    /// same_domain members
    void describe(placement_candidate & candidate) const;

private:
    struct entry
    {
        std::optional<load_signal> signal;
        latency_moving_average observed_latency;
        std::multiset<time_point> sent_times;
        std::optional<duration> round_trip_time;
        double sent_since_signal = 0;
    };

    void update_signal(entry & stored, load_signal const & signal);
    void update_measurements(entry & stored,
                             attempt_report const & report,
                             time_point now);

    absl::flat_hash_map<node_name, entry> entries;
};

} // namespace endivehinge

#endif

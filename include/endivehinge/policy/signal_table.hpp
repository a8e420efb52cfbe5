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

/// @brief what is known here of the load of each node's target
/// @note thread safety: none; the owner serialises
class signal_table
{
public:
    /// @brief a request leaves for a node
    void sent(node_name const & node, time_point now);

    /// @brief a request that was sent has ended
    /// @param report how; its sent_at is the time given to sent
    void ended(node_name const & node,
               attempt_report const & report,
               time_point now);

    /// @brief a signal that came by another way than an answer
    void record_signal(node_name const & node, load_signal const & signal);

    /// @brief forgets a node that has left
    void forget(node_name const & node);

    /// @brief fills in all of a candidate but its name and its place
    void describe(placement_candidate & candidate) const;

private:
    struct entry
    {
        std::optional<load_signal> signal;
        latency_moving_average observed_latency;
        std::multiset<time_point> waiting;
        std::optional<duration> round_trip_time;
        double sent_since_signal = 0;
    };

    void take_in(entry & known, load_signal const & signal);
    void measure(entry & known, attempt_report const & report, time_point now);

    absl::flat_hash_map<node_name, entry> entries;
};

} // namespace endivehinge

#endif

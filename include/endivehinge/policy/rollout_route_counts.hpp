#ifndef ENDIVEHINGE_POLICY_ROLLOUT_ROUTE_COUNTS_HPP
#define ENDIVEHINGE_POLICY_ROLLOUT_ROUTE_COUNTS_HPP

#include <cstdint> // uint64_t

namespace endivehinge
{

/// @brief requests of one route at one target, cumulative since the order
struct rollout_route_counts
{
    // requests accepted for the target; rejected ones are not counted
    std::uint64_t arrivals = 0;
    // responses of the target, good or bad
    std::uint64_t responses = 0;
    // bad responses by fault of the target: server errors and time-outs, not
    // rejections, overload, client errors or lost links between nodes
    std::uint64_t failures = 0;
    // good responses with a run time, without those while the target was cold
    std::uint64_t timed = 0;
    // sum of their run times divided by the reported slowdown, in seconds
    double run_time_sum = 0;
    // sum of squares of the same, in seconds squared
    double run_time_squares = 0;

    /// @brief adds the counts of another target or interval
    rollout_route_counts & operator+=(rollout_route_counts const & other);
    /// @brief subtracts earlier counts of the same target
    /// @pre no count of the other one is greater
    rollout_route_counts & operator-=(rollout_route_counts const & other);
};

} // namespace endivehinge

#endif

#ifndef ENDIVEHINGE_POLICY_ROLLOUT_ROUTE_COUNTS_HPP
#define ENDIVEHINGE_POLICY_ROLLOUT_ROUTE_COUNTS_HPP

#include <cstdint> // uint64_t

#include <endivehinge/core/clock.hpp>

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
    // sum of the natural logarithms of their run times in seconds, divided by
    // the reported slowdown. Run times are compared by their geometric mean, as
    // a single very long request would hide a slow version in the other one
    double log_run_time_sum = 0;
    // sum of squares of the same
    double log_run_time_squares = 0;

    /// @brief counts a response of the target
    /// @param failed whether it is bad by fault of the target
    void add_response(bool failed);

    /// @brief counts the run time of a good response, while the target is warm
    /// @param run_time at the target, without waiting
    /// @param slowdown as reported by the target, at least 1
    void add_run_time(duration run_time, double slowdown);

    /// @brief adds the counts of another target or interval
    rollout_route_counts & operator+=(rollout_route_counts const & other);
    /// @brief subtracts earlier counts of the same target
    /// @pre no count of the other one is greater
    rollout_route_counts & operator-=(rollout_route_counts const & other);
};

} // namespace endivehinge

#endif

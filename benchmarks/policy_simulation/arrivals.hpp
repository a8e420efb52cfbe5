#ifndef ENDIVEHINGE_BENCHMARKS_ARRIVALS_HPP
#define ENDIVEHINGE_BENCHMARKS_ARRIVALS_HPP

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <vector>  // vector

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/request.hpp>

#include "fault_case.hpp"

namespace endivehinge::simulation
{

/// @brief a request as it reaches the first node
struct arrival
{
    time_point at;
    std::size_t ingress = 0;
    std::size_t service = 0;
    // time at a target at full speed
    duration work{0};
    // from the caller's start to its answer
    duration time_limit{0};
    priority urgency = priority::interactive;
    bool repeatable = false;
};

/// @brief mean time of a request at a target at full speed
[[nodiscard]] duration mean_work();

/// @brief the same requests for the same arguments
/// @param load share of what the targets can do under the faults of the case
/// @param length how long requests come in
[[nodiscard]] std::vector<arrival> make_arrivals(deployment const & where,
                                                 fault_case const & faults,
                                                 double load,
                                                 duration length,
                                                 std::uint64_t seed);

} // namespace endivehinge::simulation

#endif

#ifndef ENDIVEHINGE_BENCHMARKS_RUN_SUMMARY_HPP
#define ENDIVEHINGE_BENCHMARKS_RUN_SUMMARY_HPP

#include <cstddef> // size_t
#include <string>  // string
#include <vector>  // vector

#include <endivehinge/core/clock.hpp>

namespace endivehinge::simulation
{

/// @brief what became of the requests of one run
///
/// Latencies are as the caller sees them. A request that is neither answered
/// nor refused by its deadline is late and stands among the latencies with
/// the time limit; a refused one is counted, but has no latency.
class run_summary
{
public:
    /// @brief an answer in time
    void answered(duration latency, bool internal_check);

    /// @brief told in time that it did not run
    void refused();

    /// @brief nothing by the deadline
    void late(duration time_limit);

    /// @brief a try beyond the first
    void tried_again();

    /// @brief adds what a cold target had to bear too much
    void overwhelmed(duration span);

    /// @brief a request that came in
    void came_in();

    /// @brief the figures as `name=value` pairs
    /// @param capacity answers that the targets can give in the whole run
    [[nodiscard]] std::string describe(double capacity);

private:
    std::vector<double> latencies_ms;
    std::vector<double> internal_ms;
    std::size_t arrivals = 0;
    std::size_t in_time = 0;
    std::size_t refused_count = 0;
    std::size_t late_count = 0;
    std::size_t extra_tries = 0;
    double overwhelmed_ms = 0;
};

} // namespace endivehinge::simulation

#endif

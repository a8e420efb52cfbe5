#ifndef ENDIVEHINGE_BENCHMARKS_SUPPORT_LATENCY_SAMPLE_HPP
#define ENDIVEHINGE_BENCHMARKS_SUPPORT_LATENCY_SAMPLE_HPP

#include <algorithm> // sort
#include <cstddef>   // size_t
#include <vector>    // vector

#include <endivehinge/core/clock.hpp>

namespace endivehinge::benchmarks
{

/// @brief the latencies of one way, in the order they were measured
struct latency_sample
{
    std::vector<duration> values;

    /// @brief the value below which a share of the sample lies
    /// @param share 0 to 1
    [[nodiscard]] duration quantile(double share) const
    {
        if (this->values.empty())
        {
            return duration(0);
        }
        std::vector<duration> sorted = this->values;
        std::sort(sorted.begin(), sorted.end());
        auto const last = static_cast<double>(sorted.size() - 1);
        return sorted[static_cast<std::size_t>(share * last)];
    }

    /// @brief adds the values of another sample
    void append(latency_sample const & other)
    {
        this->values.insert(
            this->values.end(), other.values.begin(), other.values.end());
    }
};

} // namespace endivehinge::benchmarks

#endif

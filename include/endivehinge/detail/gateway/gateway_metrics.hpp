#ifndef ENDIVEHINGE_DETAIL_GATEWAY_GATEWAY_METRICS_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_GATEWAY_METRICS_HPP

#include <array>   // array
#include <cstdint> // uint64_t
#include <string>  // string

#include <absl/container/btree_map.h> // btree_map

#include <endivehinge/core/clock.hpp>

namespace endivehinge::detail
{

/// @brief counters and latency histograms of one process
/// @note thread safety: none; used on the event loop only
class gateway_metrics
{
public:
    /// @brief a request of a route has ended
    /// @param outcome a stable name, such as "answered"
    void ended(std::string const & route,
               std::string const & outcome,
               duration took);

    /// @brief adds one to a counter
    /// @param name in the text format's form, without labels
    void count(std::string const & name);

    /// @brief sets a value that goes up and down
    void set(std::string const & name, double value);

    /// @brief all of them in the text exposition format
    [[nodiscard]] std::string text() const;

private:
    static constexpr std::array<double, 12> bounds_ms = {
        5, 10, 25, 50, 100, 250, 500, 1000, 2000, 4000, 8000, 16000};

    struct histogram
    {
        std::array<std::uint64_t, bounds_ms.size() + 1> buckets{};
        std::uint64_t count = 0;
        double sum_ms = 0;
    };

    struct route_counts
    {
        absl::btree_map<std::string, std::uint64_t> outcomes;
        histogram latency;
    };

    absl::btree_map<std::string, route_counts> routes;
    absl::btree_map<std::string, std::uint64_t> counters;
    absl::btree_map<std::string, double> gauges;
};

} // namespace endivehinge::detail

#endif

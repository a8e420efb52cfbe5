#ifndef ENDIVEHINGE_DETAIL_GATEWAY_GATEWAY_METRICS_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_GATEWAY_METRICS_HPP

#include <array>   // array
#include <cstdint> // uint64_t
#include <string>  // string

#include <absl/container/btree_map.h> // btree_map

#include <endivehinge/core/clock.hpp>

namespace endivehinge::detail
{

/// @brief counters, gauges and latency histograms of the process
/// @note thread safety: none; used on the event loop only
class gateway_metrics
{
public:
    /// @brief records the outcome and latency of a completed request
    /// @param outcome stable name that becomes a label, such as "answered"
    void record_request(std::string const & route,
                        std::string const & outcome,
                        duration elapsed);

    /// @brief increments a counter
    /// @param name valid metric name without prefix, suffix and labels
    void increment(std::string const & name);

    /// @brief sets a gauge
    void set_gauge(std::string const & name, double value);

    /// @brief formats all metrics in the Prometheus text exposition format
    [[nodiscard]] std::string to_text() const;

private:
    static constexpr std::array<double, 12> bounds_ms = {
        5, 10, 25, 50, 100, 250, 500, 1000, 2000, 4000, 8000, 16000};

    struct histogram
    {
        std::array<std::uint64_t, bounds_ms.size() + 1> buckets{};
        std::uint64_t count = 0;
        double sum_ms = 0;
    };

    struct route_data
    {
        absl::btree_map<std::string, std::uint64_t> outcomes;
        histogram latency;
    };

    absl::btree_map<std::string, route_data> routes;
    absl::btree_map<std::string, std::uint64_t> counters;
    absl::btree_map<std::string, double> gauges;
};

} // namespace endivehinge::detail

#endif

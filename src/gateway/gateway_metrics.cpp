#include <endivehinge/detail/gateway/gateway_metrics.hpp>

#include <absl/strings/str_cat.h> // StrAppend

namespace endivehinge::detail
{
namespace
{

// limit memory; further routes are counted as "other", further counters and
// gauges are ignored
constexpr std::size_t max_routes = 128;
constexpr std::size_t max_metrics = 128;

} // namespace

void gateway_metrics::record_request(std::string const & route,
                                     std::string const & outcome,
                                     duration elapsed)
{
    bool const is_tracked =
        this->routes.size() < max_routes || this->routes.contains(route);
    auto & route_metrics = this->routes[is_tracked ? route : "other"];
    route_metrics.outcomes[outcome] += 1;
    double const milliseconds = to_milliseconds(elapsed);
    std::size_t bucket = 0;
    while (bucket < bounds_ms.size() && milliseconds > bounds_ms[bucket])
    {
        ++bucket;
    }
    route_metrics.latency.buckets[bucket] += 1;
    route_metrics.latency.count += 1;
    route_metrics.latency.sum_ms += milliseconds;
}

void gateway_metrics::increment(std::string const & name)
{
    if (this->counters.size() < max_metrics || this->counters.contains(name))
    {
        this->counters[name] += 1;
    }
}

void gateway_metrics::set_gauge(std::string const & name, double value)
{
    if (this->gauges.size() < max_metrics || this->gauges.contains(name))
    {
        this->gauges[name] = value;
    }
}

std::string gateway_metrics::to_text() const
{
    std::string output;
    for (auto const & [route, route_metrics] : this->routes)
    {
        for (auto const & [outcome, count] : route_metrics.outcomes)
        {
            absl::StrAppend(&output,
                            "endivehinge_requests_total{route=\"",
                            route,
                            "\",outcome=\"",
                            outcome,
                            "\"} ",
                            count,
                            "\n");
        }
        std::uint64_t cumulative_count = 0;
        for (std::size_t i = 0; i < bounds_ms.size(); ++i)
        {
            cumulative_count += route_metrics.latency.buckets[i];
            absl::StrAppend(&output,
                            "endivehinge_request_seconds_bucket{route=\"",
                            route,
                            "\",le=\"",
                            bounds_ms[i] / 1000,
                            "\"} ",
                            cumulative_count,
                            "\n");
        }
        absl::StrAppend(&output,
                        "endivehinge_request_seconds_bucket{route=\"",
                        route,
                        "\",le=\"+Inf\"} ",
                        route_metrics.latency.count,
                        "\nendivehinge_request_seconds_sum{route=\"",
                        route,
                        "\"} ",
                        route_metrics.latency.sum_ms / 1000,
                        "\nendivehinge_request_seconds_count{route=\"",
                        route,
                        "\"} ",
                        route_metrics.latency.count,
                        "\n");
    }
    for (auto const & [name, value] : this->counters)
    {
        absl::StrAppend(&output, "endivehinge_", name, "_total ", value, "\n");
    }
    for (auto const & [name, value] : this->gauges)
    {
        absl::StrAppend(&output, "endivehinge_", name, " ", value, "\n");
    }
    return output;
}

} // namespace endivehinge::detail

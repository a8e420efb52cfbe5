#include <endivehinge/detail/gateway/gateway_metrics.hpp>

#include <absl/strings/str_cat.h> // StrAppend

namespace endivehinge::detail
{
namespace
{

// routes and counters that are told apart; bounds memory
constexpr std::size_t known_routes = 128;
constexpr std::size_t known_counters = 128;

} // namespace

void gateway_metrics::ended(std::string const & route,
                            std::string const & outcome,
                            duration took)
{
    bool const known =
        this->routes.size() < known_routes || this->routes.contains(route);
    auto & counts = this->routes[known ? route : "other"];
    counts.outcomes[outcome] += 1;
    double const milliseconds = to_milliseconds(took);
    std::size_t bucket = 0;
    while (bucket < bounds_ms.size() && milliseconds > bounds_ms[bucket])
    {
        ++bucket;
    }
    counts.latency.buckets[bucket] += 1;
    counts.latency.count += 1;
    counts.latency.sum_ms += milliseconds;
}

void gateway_metrics::count(std::string const & name)
{
    if (this->counters.size() < known_counters || this->counters.contains(name))
    {
        this->counters[name] += 1;
    }
}

void gateway_metrics::set(std::string const & name, double value)
{
    if (this->gauges.size() < known_counters || this->gauges.contains(name))
    {
        this->gauges[name] = value;
    }
}

std::string gateway_metrics::text() const
{
    std::string out;
    for (auto const & [route, counts] : this->routes)
    {
        for (auto const & [outcome, count] : counts.outcomes)
        {
            absl::StrAppend(&out,
                            "endivehinge_requests_total{route=\"",
                            route,
                            "\",outcome=\"",
                            outcome,
                            "\"} ",
                            count,
                            "\n");
        }
        std::uint64_t sum = 0;
        for (std::size_t i = 0; i < bounds_ms.size(); ++i)
        {
            sum += counts.latency.buckets[i];
            absl::StrAppend(&out,
                            "endivehinge_request_seconds_bucket{route=\"",
                            route,
                            "\",le=\"",
                            bounds_ms[i] / 1000,
                            "\"} ",
                            sum,
                            "\n");
        }
        absl::StrAppend(&out,
                        "endivehinge_request_seconds_bucket{route=\"",
                        route,
                        "\",le=\"+Inf\"} ",
                        counts.latency.count,
                        "\nendivehinge_request_seconds_sum{route=\"",
                        route,
                        "\"} ",
                        counts.latency.sum_ms / 1000,
                        "\nendivehinge_request_seconds_count{route=\"",
                        route,
                        "\"} ",
                        counts.latency.count,
                        "\n");
    }
    for (auto const & [name, value] : this->counters)
    {
        absl::StrAppend(&out, "endivehinge_", name, "_total ", value, "\n");
    }
    for (auto const & [name, value] : this->gauges)
    {
        absl::StrAppend(&out, "endivehinge_", name, " ", value, "\n");
    }
    return out;
}

} // namespace endivehinge::detail

#include "run_summary.hpp"

#include <algorithm> // min, sort

#include <absl/strings/str_format.h> // StrFormat

namespace endivehinge::simulation
{
namespace
{

double quantile(std::vector<double> & sorted, double share)
{
    if (sorted.empty())
    {
        return 0;
    }
    auto const index =
        static_cast<std::size_t>(share * static_cast<double>(sorted.size()));
    return sorted[std::min(index, sorted.size() - 1)];
}

} // namespace

void run_summary::answered(duration latency, bool internal_check)
{
    ++this->in_time;
    this->latencies_ms.push_back(to_milliseconds(latency));
    if (internal_check)
    {
        this->internal_ms.push_back(to_milliseconds(latency));
    }
}

void run_summary::refused()
{
    ++this->refused_count;
}

void run_summary::late(duration time_limit)
{
    ++this->late_count;
    this->latencies_ms.push_back(to_milliseconds(time_limit));
}

void run_summary::tried_again()
{
    ++this->extra_tries;
}

void run_summary::overwhelmed(duration span)
{
    this->overwhelmed_ms += to_milliseconds(span);
}

void run_summary::came_in()
{
    ++this->arrivals;
}

std::string run_summary::describe(double capacity)
{
    std::sort(this->latencies_ms.begin(), this->latencies_ms.end());
    std::sort(this->internal_ms.begin(), this->internal_ms.end());
    auto const ended = this->in_time + this->refused_count + this->late_count;
    return absl::StrFormat(
        "p50_ms=%.2f p99_ms=%.2f p999_ms=%.2f refused=%u late=%u "
        "extra_tries=%u requests=%u goodput=%.4f internal_p99_ms=%.2f "
        "unended=%u cold_overload_ms=%.0f",
        quantile(this->latencies_ms, 0.5),
        quantile(this->latencies_ms, 0.99),
        quantile(this->latencies_ms, 0.999),
        this->refused_count,
        this->late_count,
        this->extra_tries,
        this->arrivals,
        static_cast<double>(this->in_time) / capacity,
        quantile(this->internal_ms, 0.99),
        this->arrivals - ended,
        this->overwhelmed_ms);
}

} // namespace endivehinge::simulation

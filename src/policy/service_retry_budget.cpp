#include <endivehinge/policy/service_retry_budget.hpp>

#include <algorithm> // max

namespace endivehinge
{
namespace
{

// share of the budget available to the retries counted here; the rest covers
// those counted elsewhere, such as calls that a retried request repeats
constexpr double usable_share = 0.35;

} // namespace

service_retry_budget::service_retry_budget(service_retry_budget_options chosen)
    : options(chosen)
{
}

void service_retry_budget::record_request(time_point now)
{
    this->current_slice(now).requests += 1;
}

bool service_retry_budget::try_spend(time_point now, std::size_t nodes)
{
    if (this->available(now, nodes) < 1)
    {
        return false;
    }
    this->current_slice(now).retries += 1;
    return true;
}

double service_retry_budget::available(time_point now, std::size_t nodes)
{
    auto const newest = this->current_slice(now).index;
    double requests = 0;
    double retries = 0;
    for (auto const & entry : this->slices)
    {
        if (entry.index < 0 ||
            newest - entry.index >= static_cast<std::int64_t>(slice_count))
        {
            continue;
        }
        retries += entry.retries;
        // the oldest slice is only partly within the window
        if (newest - entry.index < static_cast<std::int64_t>(slice_count) - 1)
        {
            requests += entry.requests;
        }
    }
    double const total_budget =
        this->options.retry_share * requests +
        this->options.burst /
            static_cast<double>(std::max<std::size_t>(nodes, 1));
    return usable_share * total_budget - retries;
}

service_retry_budget::slice &
service_retry_budget::current_slice(time_point now)
{
    auto const length = std::max<duration>(
        this->options.window / static_cast<std::int64_t>(slice_count - 1),
        duration(1));
    std::int64_t const index = now.time_since_epoch() / length;
    auto & entry = this->slices[static_cast<std::size_t>(index) % slice_count];
    if (entry.index != index)
    {
        entry = slice{index, 0, 0};
    }
    return entry;
}

} // namespace endivehinge

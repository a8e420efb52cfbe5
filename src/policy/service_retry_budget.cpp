#include <endivehinge/policy/service_retry_budget.hpp>

#include <algorithm> // max

namespace endivehinge
{
namespace
{

// part of the budget that is spent; the rest covers repeats that are counted
// elsewhere, such as the calls that a repeated request makes
constexpr double usable_part = 0.35;

} // namespace

service_retry_budget::service_retry_budget(service_retry_budget_options chosen)
    : options(chosen)
{
}

void service_retry_budget::record_request(time_point now)
{
    this->current(now).requests += 1;
}

bool service_retry_budget::try_spend(time_point now, std::size_t nodes)
{
    if (this->left(now, nodes) < 1)
    {
        return false;
    }
    this->current(now).repeats += 1;
    return true;
}

double service_retry_budget::left(time_point now, std::size_t nodes)
{
    auto const newest = this->current(now).number;
    double requests = 0;
    double repeats = 0;
    for (auto const & one : this->recent)
    {
        if (one.number < 0 ||
            newest - one.number >= static_cast<std::int64_t>(slices))
        {
            continue;
        }
        repeats += one.repeats;
        // the oldest slice is only partly in the window
        if (newest - one.number < static_cast<std::int64_t>(slices) - 1)
        {
            requests += one.requests;
        }
    }
    double const share =
        this->options.share * requests +
        this->options.burst /
            static_cast<double>(std::max<std::size_t>(nodes, 1));
    return usable_part * share - repeats;
}

service_retry_budget::slice & service_retry_budget::current(time_point now)
{
    auto const length = std::max<duration>(
        this->options.window / static_cast<std::int64_t>(slices - 1),
        duration(1));
    std::int64_t const number = now.time_since_epoch() / length;
    auto & found = this->recent[static_cast<std::size_t>(number) % slices];
    if (found.number != number)
    {
        found = slice{number, 0, 0};
    }
    return found;
}

} // namespace endivehinge

#include <common/load_report.hpp>

namespace endivehinge::tools
{
namespace
{

constexpr std::size_t most_samples = 1024;

} // namespace

std::int64_t load_report::tell(std::int64_t inside,
                               target_behaviour const & behaviour,
                               absl::Time now)
{
    if (behaviour.load_lie >= 0)
    {
        return behaviour.load_lie;
    }
    absl::MutexLock lock(&this->mutex);
    this->samples.push_back({now, inside});
    absl::Time const newest = now - absl::Milliseconds(behaviour.load_lag_ms);
    // the last sample that is old enough stays, the ones before it go
    while (this->samples.size() > 1 && (this->samples[1].taken <= newest ||
                                        this->samples.size() > most_samples))
    {
        this->samples.pop_front();
    }
    return this->samples.front().taken <= newest ? this->samples.front().inside
                                                 : 0;
}

} // namespace endivehinge::tools

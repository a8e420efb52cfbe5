#include <common/service_time.hpp>

namespace endivehinge::tools
{
namespace
{

constexpr int percent = 100;

} // namespace

service_time::service_time(std::uint64_t seed)
    : random(seed)
{
}

absl::Duration service_time::draw(target_behaviour const & behaviour)
{
    if (behaviour.service_us <= 0)
    {
        return absl::ZeroDuration();
    }
    absl::MutexLock lock(&this->mutex);
    std::exponential_distribution<double> spread(1.0);
    std::uniform_int_distribution<std::int64_t> share(0, percent - 1);
    absl::Duration drawn =
        absl::Microseconds(behaviour.service_us) * spread(this->random);
    if (share(this->random) < behaviour.tail_percent)
    {
        drawn *= behaviour.tail_factor;
    }
    return drawn * behaviour.straggle_factor;
}

} // namespace endivehinge::tools

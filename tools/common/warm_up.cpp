#include <common/warm_up.hpp>

#include <algorithm> // min

namespace endivehinge::tools
{

warm_up::warm_up(absl::Time now)
    : since(now)
{
}

void warm_up::restart(absl::Time now)
{
    absl::MutexLock lock(&this->mutex);
    this->since = now;
}

bool warm_up::is_cold(target_behaviour const & behaviour, absl::Time now) const
{
    return behaviour.phase == "cold" &&
           this->age(now) < absl::Milliseconds(behaviour.warm_up_ms);
}

std::int64_t warm_up::slots(target_behaviour const & behaviour,
                            absl::Time now) const
{
    if (!this->is_cold(behaviour, now))
    {
        return behaviour.slots;
    }
    double const share = absl::FDivDuration(
        this->age(now), absl::Milliseconds(behaviour.warm_up_ms));
    auto const grown = static_cast<double>(behaviour.slots) * share;
    return std::min(
        behaviour.slots,
        std::max(behaviour.cold_slots, static_cast<std::int64_t>(grown)));
}

absl::Duration warm_up::age(absl::Time now) const
{
    absl::MutexLock lock(&this->mutex);
    return now - this->since;
}

} // namespace endivehinge::tools

#include <endivehinge/policy/configuration_freshness.hpp>

#include <algorithm> // max, min

namespace endivehinge
{

void configuration_freshness::record_read(boot_time sent)
{
    this->record(sent);
}

void configuration_freshness::record_unchanged(boot_time sent,
                                               duration hold,
                                               boot_time received)
{
    this->record(std::min(sent + hold, received));
}

void configuration_freshness::record_peer(boot_time sent, duration age)
{
    this->record(sent - std::max(age, duration(0)));
}

std::optional<duration> configuration_freshness::age(boot_time now) const
{
    return this->newest ? std::optional(now - *this->newest) : std::nullopt;
}

void configuration_freshness::record(boot_time known_at)
{
    this->newest = this->newest ? std::max(*this->newest, known_at) : known_at;
}

} // namespace endivehinge

#include <endivehinge/policy/cold_rate_limiter.hpp>

#include <algorithm> // max, min

namespace endivehinge
{

cold_rate_limiter::cold_rate_limiter(double rate_factor, double largest_burst)
    : factor(rate_factor)
    , burst(largest_burst)
{
}

void cold_rate_limiter::set(time_point until, double requests_per_second)
{
    this->cold_until = until;
    this->rate = requests_per_second * this->factor;
}

bool cold_rate_limiter::is_cold(time_point now) const
{
    return this->rate > 0 && now < this->cold_until;
}

bool cold_rate_limiter::has_room(time_point now)
{
    double const passed = to_milliseconds(now - this->refilled) / 1000;
    this->refilled = now;
    this->tokens = std::min(this->burst, this->tokens + passed * this->rate);
    return !this->is_cold(now) || this->tokens >= 1;
}

void cold_rate_limiter::spend()
{
    this->tokens = std::max(0.0, this->tokens - 1);
}

duration cold_rate_limiter::wait_for(std::size_t requests, time_point now) const
{
    if (!this->is_cold(now))
    {
        return duration(0);
    }
    return this->time_of(static_cast<double>(requests) - this->tokens);
}

time_point cold_rate_limiter::next_room() const
{
    if (this->rate <= 0 || this->tokens >= 1)
    {
        return time_point();
    }
    return this->refilled + this->time_of(1 - this->tokens);
}

duration cold_rate_limiter::time_of(double requests) const
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(std::max(requests, 0.0) / this->rate));
}

} // namespace endivehinge

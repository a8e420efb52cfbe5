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

bool cold_rate_limiter::can_start(time_point now)
{
    double const elapsed_seconds =
        to_milliseconds(now - this->last_refill) / 1000;
    this->last_refill = now;
    this->tokens =
        std::min(this->burst, this->tokens + elapsed_seconds * this->rate);
    return !this->is_cold(now) || this->tokens >= 1;
}

void cold_rate_limiter::record_start()
{
    this->tokens = std::max(0.0, this->tokens - 1);
}

duration cold_rate_limiter::time_until_start(std::size_t requests,
                                             time_point now) const
{
    if (!this->is_cold(now))
    {
        return duration(0);
    }
    return this->refill_time(static_cast<double>(requests) - this->tokens);
}

time_point cold_rate_limiter::next_start_time() const
{
    if (this->rate <= 0 || this->tokens >= 1)
    {
        return time_point();
    }
    return this->last_refill + this->refill_time(1 - this->tokens);
}

duration cold_rate_limiter::refill_time(double requests) const
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(std::max(requests, 0.0) / this->rate));
}

} // namespace endivehinge

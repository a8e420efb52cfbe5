#include <endivehinge/policy/start_rate_bucket.hpp>

#include <algorithm> // max, min

namespace endivehinge
{

void start_rate_bucket::set(double starts_per_second, double burst)
{
    this->rate = starts_per_second;
    this->capacity = burst;
    this->tokens = std::min(this->tokens, this->capacity);
}

void start_rate_bucket::clear(time_point now)
{
    this->tokens = 0;
    this->last_refill = now;
}

void start_rate_bucket::refill(time_point now)
{
    this->tokens = this->tokens_at(now);
    this->last_refill = now;
}

double start_rate_bucket::tokens_at(time_point now) const
{
    double const elapsed_seconds =
        to_milliseconds(now - this->last_refill) / 1000;
    return std::min(this->capacity,
                    this->tokens + elapsed_seconds * this->rate);
}

bool start_rate_bucket::has_token() const
{
    return this->tokens >= 1;
}

void start_rate_bucket::take()
{
    this->tokens = std::max(0.0, this->tokens - 1);
}

duration start_rate_bucket::time_until(std::size_t starts, time_point now) const
{
    return this->refill_time(static_cast<double>(starts) -
                             this->tokens_at(now));
}

duration start_rate_bucket::interval() const
{
    return this->refill_time(1);
}

time_point start_rate_bucket::next_start() const
{
    return this->has_token()
               ? time_point()
               : this->last_refill + this->refill_time(1 - this->tokens);
}

duration start_rate_bucket::refill_time(double starts) const
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(std::max(starts, 0.0) / this->rate));
}

} // namespace endivehinge

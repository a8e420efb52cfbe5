#include <endivehinge/policy/cold_rate_limiter.hpp>

#include <algorithm> // max
#include <cmath>     // floor
#include <cstddef>   // size_t

namespace endivehinge
{
namespace
{

// requests of each second that stay unused, since a delayed node sends the
// requests of different start times closer together
constexpr double unused_requests = 2;
// requests per second; lets a target that allows less than a burst warm up
constexpr double min_rate = 1;
// share of the requests that a cold target may receive after which the next
// statement of the target is requested; the rest may start meanwhile
constexpr double confirmation_share = 0.75;
// span to which the bound of a cold target applies
constexpr duration bound_window = std::chrono::seconds(1);

} // namespace

cold_rate_limiter::cold_rate_limiter(double largest_burst)
    : burst(largest_burst)
    , window(bound_window)
{
}

void cold_rate_limiter::set(time_point until,
                            double requests_per_second,
                            cold_rate_bound const & bound)
{
    this->cold_until = until;
    this->rate = 0;
    if (requests_per_second > 0)
    {
        double const requests_in_any_second =
            requests_per_second * bound.factor + bound.slack - unused_requests;
        this->rate = std::max(std::floor(requests_in_any_second), min_rate);
        this->window.set_capacity(static_cast<std::size_t>(this->rate));
    }
    this->bucket.set(this->rate, this->burst);
}

bool cold_rate_limiter::is_cold(time_point now) const
{
    return this->rate > 0 && now < this->cold_until;
}

bool cold_rate_limiter::can_start(time_point now)
{
    this->bucket.refill(now);
    this->checked_at = now;
    if (this->rate <= 0)
    {
        return true;
    }
    if (!this->is_cold(now))
    {
        return static_cast<double>(
                   this->window.count_after(this->warm_at, now)) < this->rate;
    }
    return this->bucket.has_token() &&
           this->window.time_until(1, now) == duration(0);
}

void cold_rate_limiter::confirm_warm(time_point known_at)
{
    this->warm_at = std::max(this->warm_at, known_at);
}

bool cold_rate_limiter::needs_confirmation(time_point now) const
{
    return this->rate > 0 && !this->is_cold(now) &&
           static_cast<double>(this->window.count_after(this->warm_at, now)) >=
               this->rate * confirmation_share;
}

void cold_rate_limiter::record_start(time_point now)
{
    this->bucket.take();
    if (this->rate > 0)
    {
        this->window.record_start(now);
    }
}

duration cold_rate_limiter::time_until_start(std::size_t requests,
                                             time_point now) const
{
    return this->is_cold(now) ? std::max(this->bucket.time_until(requests, now),
                                         this->window.time_until(requests, now))
                              : duration(0);
}

duration cold_rate_limiter::start_interval(time_point now) const
{
    return this->is_cold(now) ? this->bucket.interval() : duration(0);
}

time_point cold_rate_limiter::next_start_time() const
{
    if (this->rate <= 0)
    {
        return {};
    }
    auto const wait = this->window.time_until(1, this->checked_at);
    return std::max(this->bucket.next_start(),
                    wait > duration(0) ? this->checked_at + wait
                                       : time_point());
}

} // namespace endivehinge

#include <endivehinge/policy/stated_rate_limiter.hpp>

#include <algorithm> // max

namespace endivehinge
{
namespace
{

// requests per second; only a response shows that a target no longer states a
// limit, so that a lower one would never end
constexpr double min_rate = 0.25;
// unused starts that may follow at once; the users allow half of the limit
// above it, over 4 s
constexpr double burst_seconds = 1;

} // namespace

void stated_rate_limiter::set(std::optional<double> requests_per_second,
                              time_point now)
{
    if (requests_per_second == this->stated)
    {
        return;
    }
    if (this->stated)
    {
        this->bucket.refill(now);
    }
    else
    {
        // the requests in flight have used what the target takes
        this->bucket.clear(now);
    }
    if (requests_per_second)
    {
        double const rate = std::max(*requests_per_second, min_rate);
        this->bucket.set(rate, std::max(1.0, rate * burst_seconds));
    }
    this->stated = requests_per_second;
}

std::optional<double> stated_rate_limiter::limit() const
{
    return this->stated;
}

bool stated_rate_limiter::can_start(time_point now)
{
    if (!this->stated)
    {
        return true;
    }
    this->bucket.refill(now);
    return this->bucket.has_token();
}

void stated_rate_limiter::record_start()
{
    this->bucket.take();
}

duration stated_rate_limiter::time_until_start(std::size_t requests,
                                               time_point now) const
{
    return this->stated ? this->bucket.time_until(requests, now) : duration(0);
}

duration stated_rate_limiter::start_interval() const
{
    return this->stated ? this->bucket.interval() : duration(0);
}

time_point stated_rate_limiter::next_start_time() const
{
    return this->stated ? this->bucket.next_start() : time_point();
}

} // namespace endivehinge

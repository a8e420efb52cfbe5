#include <endivehinge/core/token_bucket.hpp>

#include <algorithm> // min, max
#include <chrono>    // duration

namespace endivehinge
{

token_bucket::token_bucket(double tokens_per_second, double max_burst)
    : rate(tokens_per_second)
    , capacity(max_burst)
    , tokens(max_burst)
{
}

bool token_bucket::try_take(time_point now)
{
    std::chrono::duration<double> const elapsed =
        std::max(now - this->refilled_at, duration(0));
    this->tokens =
        std::min(this->capacity, this->tokens + elapsed.count() * this->rate);
    this->refilled_at = std::max(this->refilled_at, now);
    if (this->tokens < 1)
    {
        return false;
    }
    this->tokens -= 1;
    return true;
}

} // namespace endivehinge

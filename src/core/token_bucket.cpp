#include <endivehinge/core/token_bucket.hpp>

#include <algorithm> // min, max
#include <chrono>    // duration

namespace endivehinge
{

token_bucket::token_bucket(double calls_per_second, double burst)
    : rate(calls_per_second)
    , capacity(burst)
    , left(burst)
{
}

bool token_bucket::try_take(time_point now)
{
    std::chrono::duration<double> const passed =
        std::max(now - this->filled, duration(0));
    this->left =
        std::min(this->capacity, this->left + passed.count() * this->rate);
    this->filled = std::max(this->filled, now);
    if (this->left < 1)
    {
        return false;
    }
    this->left -= 1;
    return true;
}

} // namespace endivehinge

#include <endivehinge/core/call_budget.hpp>

#include <algorithm> // min, max
#include <chrono>    // duration

namespace endivehinge
{

call_budget::call_budget(double calls_per_second, double burst)
    : rate(calls_per_second)
    , capacity(burst)
    , left(burst)
{
}

bool call_budget::try_take(time_point now)
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

#include <endivehinge/policy/allotment_retry.hpp>

#include <algorithm> // max

namespace endivehinge
{
namespace
{

// clients of an account far beyond its allotment would otherwise be told to
// wait ever longer, although most of them do not come again
constexpr duration max_wait = std::chrono::seconds(2);
// an account with less is given one token per second
constexpr double min_rate = 1;

duration to_duration(double seconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

} // namespace

duration allotment_retry::next(time_point now,
                               time_point earliest,
                               double rate,
                               double random)
{
    auto const gap = to_duration(1 / std::max(rate, min_rate));
    auto const first = std::max(now, earliest);
    this->last = std::max(this->last, first) + gap;
    if (this->last <= now + max_wait)
    {
        return this->last - now;
    }
    // every slot is taken
    this->last = first;
    return first - now +
           std::chrono::duration_cast<duration>(max_wait * random);
}

} // namespace endivehinge

#include <endivehinge/policy/slow_rounds.hpp>

#include <utility> // exchange

namespace endivehinge
{
namespace
{

// the length of a usual slow period, docs/design/slow-targets.md
constexpr duration longest_wait = std::chrono::milliseconds(150);

} // namespace

when_slow slow_rounds::choice(time_point now) const
{
    if (!this->waits_end)
    {
        return when_slow::decline;
    }
    return now < *this->waits_end ? when_slow::wait : when_slow::decide;
}

void slow_rounds::declined(target_id const & target, when_slow asked)
{
    if (asked != when_slow::decide)
    {
        this->slow.push_back(target);
    }
}

std::vector<target_id> slow_rounds::next(time_point now)
{
    if (!this->waits_end)
    {
        this->waits_end = now + longest_wait;
    }
    return std::exchange(this->slow, {});
}

} // namespace endivehinge

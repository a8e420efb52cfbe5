#include <endivehinge/policy/slow_target_rounds.hpp>

#include <utility> // exchange

namespace endivehinge
{
namespace
{

// the length of a usual slow period, docs/design/slow-targets.md
constexpr duration longest_wait = std::chrono::milliseconds(150);

} // namespace

slow_target_action slow_target_rounds::next_action(time_point now) const
{
    if (!this->waits_end)
    {
        return slow_target_action::decline;
    }
    return now < *this->waits_end ? slow_target_action::wait
                                  : slow_target_action::start_or_refuse;
}

void slow_target_rounds::record_decline(target_id const & target,
                                        slow_target_action asked)
{
    if (asked != slow_target_action::start_or_refuse)
    {
        this->slow.push_back(target);
    }
}

std::vector<target_id> slow_target_rounds::start_next_round(time_point now)
{
    if (!this->waits_end)
    {
        this->waits_end = now + longest_wait;
    }
    return std::exchange(this->slow, {});
}

} // namespace endivehinge

#include <endivehinge/policy/slow_target_rounds.hpp>

#include <utility> // exchange

namespace endivehinge
{
namespace
{

// length of a typical slow period, see docs/design/slow-targets.md
constexpr duration max_total_wait = std::chrono::milliseconds(150);
// targets that decline a request before it waits at one of them
constexpr std::size_t max_declines_per_round = 4;

} // namespace

slow_target_action slow_target_rounds::next_action(time_point now) const
{
    if (!this->wait_end)
    {
        return slow_target_action::decline;
    }
    return now < *this->wait_end ? slow_target_action::wait
                                 : slow_target_action::start_or_refuse;
}

void slow_target_rounds::record_decline(target_id const & target,
                                        slow_target_action action)
{
    if (action != slow_target_action::start_or_refuse)
    {
        this->slow_targets.push_back(target);
    }
}

bool slow_target_rounds::is_round_over() const
{
    return this->slow_targets.size() >= max_declines_per_round;
}

std::vector<target_id> slow_target_rounds::start_next_round(time_point now)
{
    if (!this->wait_end)
    {
        this->wait_end = now + max_total_wait;
    }
    return std::exchange(this->slow_targets, {});
}

} // namespace endivehinge

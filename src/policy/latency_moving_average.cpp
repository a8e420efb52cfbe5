#include <endivehinge/policy/latency_moving_average.hpp>

namespace endivehinge
{
namespace
{

// 1 in so many: a straggler shows within a few answers
constexpr int newest_weight_divisor = 3;
constexpr std::chrono::seconds failure_penalty(1);

} // namespace

void latency_moving_average::answered(duration latency, time_point now)
{
    if (!this->mean.has_value())
    {
        this->mean = latency_observation{latency, now};
        return;
    }
    this->mean->latency +=
        (latency - this->mean->latency) / newest_weight_divisor;
    this->mean->at = now;
}

void latency_moving_average::failed(time_point now)
{
    this->answered(failure_penalty, now);
}

std::optional<latency_observation> latency_moving_average::value() const
{
    return this->mean;
}

} // namespace endivehinge

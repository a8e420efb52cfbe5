#include <endivehinge/policy/latency_moving_average.hpp>

namespace endivehinge
{
namespace
{

// Each new value counts one third, so that a straggler is detected within a
// few responses.
constexpr int newest_weight_divisor = 3;
constexpr std::chrono::seconds failure_latency(1);

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
    this->mean->updated_at = now;
}

void latency_moving_average::failed(time_point now)
{
    this->answered(failure_latency, now);
}

std::optional<latency_observation> latency_moving_average::value() const
{
    return this->mean;
}

} // namespace endivehinge

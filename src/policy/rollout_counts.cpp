#include <endivehinge/policy/rollout_counts.hpp>

#include <algorithm> // max

namespace endivehinge
{

rollout_route_counts &
rollout_route_counts::operator+=(rollout_route_counts const & other)
{
    this->arrivals += other.arrivals;
    this->responses += other.responses;
    this->failures += other.failures;
    this->timed += other.timed;
    this->run_time_sum += other.run_time_sum;
    this->run_time_squares += other.run_time_squares;
    return *this;
}

rollout_route_counts &
rollout_route_counts::operator-=(rollout_route_counts const & other)
{
    this->arrivals -= other.arrivals;
    this->responses -= other.responses;
    this->failures -= other.failures;
    this->timed -= other.timed;
    // rounding may leave a small negative rest
    this->run_time_sum = std::max(0.0, this->run_time_sum - other.run_time_sum);
    this->run_time_squares =
        std::max(0.0, this->run_time_squares - other.run_time_squares);
    return *this;
}

rollout_route_counts rollout_counts::total() const
{
    rollout_route_counts sum;
    for (auto const & [name, counts] : this->routes)
    {
        sum += counts;
    }
    return sum;
}

} // namespace endivehinge

#include <endivehinge/policy/rollout_counts.hpp>

#include <algorithm> // max
#include <cmath>     // log

namespace endivehinge
{
namespace
{

// shorter run times don't differ by more than the clock and the network do
constexpr duration least_run_time = std::chrono::milliseconds(1);

} // namespace

rollout_route_counts &
rollout_route_counts::operator+=(rollout_route_counts const & other)
{
    this->arrivals += other.arrivals;
    this->responses += other.responses;
    this->failures += other.failures;
    this->timed += other.timed;
    this->log_run_time_sum += other.log_run_time_sum;
    this->log_run_time_squares += other.log_run_time_squares;
    return *this;
}

rollout_route_counts &
rollout_route_counts::operator-=(rollout_route_counts const & other)
{
    this->arrivals -= other.arrivals;
    this->responses -= other.responses;
    this->failures -= other.failures;
    this->timed -= other.timed;
    this->log_run_time_sum -= other.log_run_time_sum;
    this->log_run_time_squares -= other.log_run_time_squares;
    return *this;
}

void rollout_route_counts::add_response(bool failed)
{
    ++this->responses;
    this->failures += failed ? 1 : 0;
}

void rollout_route_counts::add_run_time(duration run_time, double slowdown)
{
    double const normalized =
        std::chrono::duration<double>(std::max(run_time, least_run_time))
            .count() /
        std::max(slowdown, 1.0);
    double const logarithm = std::log(normalized);
    ++this->timed;
    this->log_run_time_sum += logarithm;
    this->log_run_time_squares += logarithm * logarithm;
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

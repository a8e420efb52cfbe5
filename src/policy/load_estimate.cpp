#include <endivehinge/policy/load_estimate.hpp>

#include <cmath> // exp, log1p, sqrt

namespace endivehinge
{
namespace
{

// deviation of the in-flight count from its estimate, for a limit of 1
constexpr double deviation_at_limit_one = 0.5;
constexpr double far_above = 30;

} // namespace

bool load_estimate::has_room() const
{
    return this->in_flight + 1 <= this->limit;
}

double load_estimate::wait() const
{
    double const deviation = deviation_at_limit_one * std::sqrt(this->limit);
    double const excess = (this->in_flight + 1 - this->limit) / deviation;
    // a smooth max(excess, 0): an estimate just below the limit may be wrong
    double const expected =
        excess > far_above ? excess : std::log1p(std::exp(excess));
    return expected * deviation * this->latency / this->limit;
}

double load_estimate::answer_time() const
{
    return this->round_trip_time + this->wait() + this->latency;
}

} // namespace endivehinge

#include <endivehinge/policy/load_estimate.hpp>

#include <cmath> // exp, log1p, sqrt

namespace endivehinge
{
namespace
{

// standard deviation of the in-flight count from its estimate at limit 1;
// grows with the square root of the limit
constexpr double deviation_at_limit_one = 0.5;
// excess, in standard deviations, above which log1p(exp(excess)) equals excess
constexpr double linear_above = 30;

} // namespace

bool load_estimate::has_spare_capacity() const
{
    return this->in_flight + 1 <= this->limit;
}

double load_estimate::expected_wait() const
{
    double const deviation = deviation_at_limit_one * std::sqrt(this->limit);
    double const excess = (this->in_flight + 1 - this->limit) / deviation;
    // Smooth form of max(excess, 0), since an estimate just below the limit
    // may be wrong.
    double const smooth_excess =
        excess > linear_above ? excess : std::log1p(std::exp(excess));
    return smooth_excess * deviation * this->latency / this->limit;
}

double load_estimate::expected_response_time() const
{
    return this->round_trip_time + this->expected_wait() + this->latency;
}

} // namespace endivehinge

#include <endivehinge/policy/attempt_age_estimator.hpp>

#include <algorithm> // sort
#include <vector>    // vector

#include <endivehinge/core/scaled_duration.hpp>

namespace endivehinge
{
namespace
{

// bounds memory; requests of further routes count as first attempts
constexpr std::size_t max_routes = 256;

} // namespace

attempt_age_estimator::attempt_age_estimator(attempt_age_options chosen)
    : options(chosen)
{
}

void attempt_age_estimator::record_arrival(std::string const & route,
                                           duration time_left,
                                           time_point now)
{
    auto * const times = this->times_of(route);
    if (times == nullptr ||
        now - times->last_refusal < this->options.refusal_memory)
    {
        return;
    }
    times->samples.push_back(time_left);
    if (times->samples.size() > this->options.samples)
    {
        times->samples.pop_front();
    }
    this->update_usual_time(*times);
}

void attempt_age_estimator::record_refusal(std::string const & route,
                                           time_point now)
{
    if (auto * const times = this->times_of(route))
    {
        times->last_refusal = now;
    }
}

duration attempt_age_estimator::age(std::string const & route,
                                    duration time_left) const
{
    auto const found = this->routes.find(route);
    if (found == this->routes.end())
    {
        return duration(0);
    }
    auto const & times = found->second;
    return time_left < times.first_attempt_time ? times.usual_time - time_left
                                                : duration(0);
}

attempt_age_estimator::route_times *
attempt_age_estimator::times_of(std::string const & route)
{
    auto const found = this->routes.find(route);
    if (found != this->routes.end())
    {
        return &found->second;
    }
    return this->routes.size() < max_routes ? &this->routes[route] : nullptr;
}

void attempt_age_estimator::update_usual_time(route_times & times) const
{
    times.usual_time = duration(0);
    times.first_attempt_time = duration(0);
    auto const count = times.samples.size();
    if (count < this->options.min_samples)
    {
        return;
    }
    std::vector<duration> sorted(times.samples.begin(), times.samples.end());
    std::sort(sorted.begin(), sorted.end());
    auto const median = sorted[count / 2];
    auto const shortest = sorted[static_cast<std::size_t>(
        this->options.max_return_share * static_cast<double>(count))];
    if (shortest >= scaled(median, this->options.min_first_share))
    {
        times.usual_time = median;
        times.first_attempt_time =
            scaled(shortest, 1 - this->options.tolerance);
    }
}

} // namespace endivehinge

#include <endivehinge/policy/run_time_estimates.hpp>

namespace endivehinge
{
namespace
{

// bounds memory; routes beyond this number have no mean run time
constexpr std::size_t max_routes = 256;

} // namespace

run_time_estimates::run_time_estimates(double newest_weight, duration max_age)
    : weight(newest_weight)
    , mean_max_age(max_age)
{
}

void run_time_estimates::add(std::string const & route,
                             duration run_time,
                             time_point now)
{
    this->all_routes_mean = this->updated_mean(this->all_routes_mean, run_time);
    if (this->routes.size() >= max_routes && !this->routes.contains(route))
    {
        return;
    }
    this->routes[route] = {
        this->updated_mean(this->mean_for(route, now), run_time), now};
}

duration run_time_estimates::mean_for(std::string const & route,
                                      time_point now) const
{
    auto const found = this->routes.find(route);
    if (found == this->routes.end() ||
        now - found->second.updated_at > this->mean_max_age)
    {
        return duration(0);
    }
    return found->second.mean;
}

duration run_time_estimates::overall_mean() const
{
    return this->all_routes_mean;
}

duration run_time_estimates::updated_mean(duration mean, duration newest) const
{
    return mean.count() == 0 ? newest
                             : mean + std::chrono::duration_cast<duration>(
                                          (newest - mean) * this->weight);
}

} // namespace endivehinge

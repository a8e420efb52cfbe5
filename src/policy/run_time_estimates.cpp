#include <endivehinge/policy/run_time_estimates.hpp>

namespace endivehinge
{
namespace
{

// routes whose run times are kept; bounds memory
constexpr std::size_t known_routes = 256;

} // namespace

run_time_estimates::run_time_estimates(double newest_weight,
                                       duration remembered_for)
    : weight(newest_weight)
    , memory(remembered_for)
{
}

void run_time_estimates::add(std::string const & route,
                             duration took,
                             time_point now)
{
    this->mean_of_all = this->moved(this->mean_of_all, took);
    if (this->routes.size() >= known_routes && !this->routes.contains(route))
    {
        return;
    }
    this->routes[route] = {this->moved(this->of(route, now), took), now};
}

duration run_time_estimates::of(std::string const & route, time_point now) const
{
    auto const found = this->routes.find(route);
    if (found == this->routes.end() || now - found->second.noted > this->memory)
    {
        return duration(0);
    }
    return found->second.mean;
}

duration run_time_estimates::overall() const
{
    return this->mean_of_all;
}

duration run_time_estimates::moved(duration mean, duration newest) const
{
    return mean.count() == 0 ? newest
                             : mean + std::chrono::duration_cast<duration>(
                                          (newest - mean) * this->weight);
}

} // namespace endivehinge

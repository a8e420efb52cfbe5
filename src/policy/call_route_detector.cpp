#include <endivehinge/policy/call_route_detector.hpp>

#include <algorithm> // remove_if

namespace endivehinge
{
namespace
{

// a target answers within this time after the refusal of a call, on the same
// machine
constexpr duration reaction_time = std::chrono::milliseconds(5);
// refusals before a route is told apart
constexpr double min_refusals = 4;
constexpr double min_followed_share = 0.6;
// the counts are halved at this number, so that a change shows
constexpr double max_refusals = 64;
// bounds memory; further routes are taken for those of clients
constexpr std::size_t max_routes = 256;

} // namespace

void call_route_detector::record_refusal(std::string const & route,
                                         time_point now)
{
    if (this->routes.size() >= max_routes && !this->routes.contains(route))
    {
        return;
    }
    auto & counts = this->routes[route];
    counts.refusals += 1;
    if (counts.refusals > max_refusals)
    {
        counts.refusals /= 2;
        counts.followed /= 2;
    }
    this->pending.erase(std::remove_if(this->pending.begin(),
                                       this->pending.end(),
                                       [now](auto const & refusal)
                                       {
                                           return now - refusal.at >
                                                  reaction_time;
                                       }),
                        this->pending.end());
    this->pending.push_back({route, now});
}

void call_route_detector::record_failed_run(time_point now)
{
    for (auto const & refusal : this->pending)
    {
        if (now - refusal.at <= reaction_time)
        {
            this->routes[refusal.route].followed += 1;
        }
    }
    this->pending.clear();
}

bool call_route_detector::is_call(std::string const & route) const
{
    auto const found = this->routes.find(route);
    return found != this->routes.end() &&
           found->second.refusals >= min_refusals &&
           found->second.followed >=
               min_followed_share * found->second.refusals;
}

} // namespace endivehinge

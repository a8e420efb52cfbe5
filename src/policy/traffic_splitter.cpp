#include <endivehinge/policy/traffic_splitter.hpp>

#include <algorithm> // any_of, equal, max_element
#include <iterator>  // distance

namespace endivehinge
{
namespace
{

double total_weight(std::vector<weighted_service> const & parts)
{
    double sum = 0;
    for (auto const & part : parts)
    {
        sum += part.weight;
    }
    return sum;
}

bool are_equal(std::vector<weighted_service> const & a,
               std::vector<weighted_service> const & b)
{
    return std::equal(a.begin(),
                      a.end(),
                      b.begin(),
                      b.end(),
                      [](weighted_service const & x, weighted_service const & y)
                      {
                          return x.service == y.service && x.weight == y.weight;
                      });
}

} // namespace

service_name traffic_splitter::choose(service_route const & route,
                                      double initial_phase)
{
    if (route.parts.size() == 1)
    {
        return route.parts.front().service;
    }
    auto & state = this->states[route.name];
    if (!are_equal(state.parts, route.parts))
    {
        state.parts = route.parts;
        state.credit.assign(route.parts.size(), 0);
        for (std::size_t i = 0; i < route.parts.size(); ++i)
        {
            // any initial credit between zero and that of one request keeps
            // the shares exact; the sum of the credits is irrelevant
            state.credit[i] = initial_phase * route.parts[i].weight;
        }
    }
    for (std::size_t i = 0; i < route.parts.size(); ++i)
    {
        state.credit[i] += route.parts[i].weight;
    }
    auto const best =
        std::max_element(state.credit.begin(), state.credit.end());
    *best -= total_weight(route.parts);
    return route
        .parts[static_cast<std::size_t>(
            std::distance(state.credit.begin(), best))]
        .service;
}

void traffic_splitter::retain(std::vector<service_route> const & routes)
{
    absl::erase_if(this->states,
                   [&routes](auto const & entry)
                   {
                       return std::none_of(routes.begin(),
                                           routes.end(),
                                           [&entry](auto const & route)
                                           {
                                               return route.name == entry.first;
                                           });
                   });
}

} // namespace endivehinge

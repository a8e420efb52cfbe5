#include <endivehinge/policy/link_subset.hpp>

#include <algorithm> // clamp, max, min, partial_sort
#include <cmath>     // sqrt
#include <cstdint>   // uint64_t

#include <endivehinge/core/stable_hash.hpp>

namespace endivehinge
{
namespace
{

constexpr double near_share_of_links = 0.75;
// deviations between the mean count of links at a target and its bound
constexpr double margin_deviations = 4;

struct ranked_link
{
    std::uint64_t rank = 0;
    node_name node;
};

std::uint64_t rank_of(node_name const & self, node_name const & other)
{
    return stable_hash(other.value(), stable_hash(self.value()));
}

// the mean m for which m + margin * sqrt(m) is the bound
double mean_below(double bound)
{
    double const root =
        (std::sqrt((margin_deviations * margin_deviations) + (4 * bound)) -
         margin_deviations) /
        2;
    return root * root;
}

std::size_t links_within(double bound,
                         std::size_t callers,
                         std::size_t targets,
                         std::size_t wanted)
{
    double const allowed =
        mean_below(bound) * static_cast<double>(targets) /
        static_cast<double>(std::max<std::size_t>(callers, 1));
    double const most = static_cast<double>(std::min(targets, wanted));
    return static_cast<std::size_t>(std::clamp(allowed, 1.0, most));
}

std::vector<ranked_link> rank_side(node_name const & self,
                                   std::vector<link_candidate> const & all,
                                   bool same_domain)
{
    std::vector<ranked_link> side;
    for (auto const & candidate : all)
    {
        if (candidate.same_domain == same_domain)
        {
            side.push_back({rank_of(self, candidate.node), candidate.node});
        }
    }
    return side;
}

void take_first(std::vector<ranked_link> & side,
                std::size_t count,
                std::vector<node_name> & chosen)
{
    auto const middle = side.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(side.begin(),
                      middle,
                      side.end(),
                      [](ranked_link const & a, ranked_link const & b)
                      {
                          return a.rank < b.rank;
                      });
    for (auto link = side.begin(); link != middle; ++link)
    {
        chosen.push_back(link->node);
    }
}

} // namespace

std::vector<node_name>
choose_links(node_name const & self,
             std::vector<link_candidate> const & candidates,
             link_bounds const & bounds)
{
    auto near = rank_side(self, candidates, true);
    auto far = rank_side(self, candidates, false);
    auto const whole = static_cast<double>(bounds.links_per_target);
    double const near_bound = whole * near_share_of_links;
    std::vector<node_name> chosen;
    if (!near.empty())
    {
        take_first(near,
                   links_within(near_bound,
                                bounds.callers_in_domain,
                                near.size(),
                                bounds.wanted),
                   chosen);
    }
    std::size_t const left =
        std::max<std::size_t>(bounds.wanted, chosen.size() + 1) - chosen.size();
    if (!far.empty())
    {
        take_first(far,
                   links_within(whole - near_bound,
                                bounds.callers - bounds.callers_in_domain,
                                far.size(),
                                left),
                   chosen);
    }
    return chosen;
}

} // namespace endivehinge

#include <endivehinge/policy/link_subset.hpp>

#include <algorithm> // clamp, max, min, partial_sort
#include <cmath>     // sqrt
#include <cstdint>   // uint64_t

#include <endivehinge/core/stable_hash.hpp>

namespace endivehinge
{
namespace
{

constexpr double local_domain_link_share = 0.75;
// safety margin below the link limit of a target, in standard deviations
constexpr double margin_deviations = 4;

struct ranked_link
{
    std::uint64_t rank = 0;
    node_name node;
};

std::uint64_t compute_rank(node_name const & self, node_name const & candidate)
{
    return stable_hash(candidate.value(), stable_hash(self.value()));
}

// Solves m + margin_deviations * sqrt(m) = bound for the mean m.
double mean_for_bound(double bound)
{
    double const root =
        (std::sqrt((margin_deviations * margin_deviations) + (4 * bound)) -
         margin_deviations) /
        2;
    return root * root;
}

std::size_t links_for_bound(double bound,
                            std::size_t callers,
                            std::size_t targets,
                            std::size_t preferred_links)
{
    double const allowed =
        mean_for_bound(bound) * static_cast<double>(targets) /
        static_cast<double>(std::max<std::size_t>(callers, 1));
    double const upper_bound =
        static_cast<double>(std::min(targets, preferred_links));
    return static_cast<std::size_t>(std::clamp(allowed, 1.0, upper_bound));
}

std::vector<ranked_link>
rank_candidates(node_name const & self,
                std::vector<link_candidate> const & all,
                bool same_domain)
{
    std::vector<ranked_link> ranked;
    for (auto const & candidate : all)
    {
        if (candidate.same_domain == same_domain)
        {
            ranked.push_back(
                {compute_rank(self, candidate.node), candidate.node});
        }
    }
    return ranked;
}

void append_lowest_ranked(std::vector<ranked_link> & ranked,
                          std::size_t count,
                          std::vector<node_name> & chosen)
{
    auto const chosen_end = ranked.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(ranked.begin(),
                      chosen_end,
                      ranked.end(),
                      [](ranked_link const & a, ranked_link const & b)
                      {
                          return a.rank < b.rank;
                      });
    for (auto link = ranked.begin(); link != chosen_end; ++link)
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
    auto local_domain_links = rank_candidates(self, candidates, true);
    auto remote_domain_links = rank_candidates(self, candidates, false);
    auto const total_bound = static_cast<double>(bounds.max_links_per_target);
    double const local_domain_bound = total_bound * local_domain_link_share;
    std::vector<node_name> chosen;
    if (!local_domain_links.empty())
    {
        append_lowest_ranked(local_domain_links,
                             links_for_bound(local_domain_bound,
                                             bounds.callers_in_domain,
                                             local_domain_links.size(),
                                             bounds.preferred_links),
                             chosen);
    }
    std::size_t const remaining =
        std::max<std::size_t>(bounds.preferred_links, chosen.size() + 1) -
        chosen.size();
    if (!remote_domain_links.empty())
    {
        append_lowest_ranked(
            remote_domain_links,
            links_for_bound(total_bound - local_domain_bound,
                            bounds.callers - bounds.callers_in_domain,
                            remote_domain_links.size(),
                            remaining),
            chosen);
    }
    return chosen;
}

} // namespace endivehinge

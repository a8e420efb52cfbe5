#include <endivehinge/detail/node/candidate_cache.hpp>

#include <algorithm> // find, sort
#include <utility>   // move

#include <absl/container/flat_hash_set.h> // flat_hash_set

namespace endivehinge::detail
{

candidate_cache::candidate_cache(node_name name, failure_domain place)
    : self(std::move(name))
    , domain(std::move(place))
{
}

candidate_list
candidate_cache::find(service_name const & service,
                      member_snapshot const & latest,
                      std::shared_ptr<configuration const> const & in_force)
{
    if (latest != this->members || in_force != this->configured)
    {
        this->members = latest;
        this->configured = in_force;
        this->lists.clear();
    }
    candidate_list & list = this->lists[service];
    if (list == nullptr)
    {
        list = this->make(service);
    }
    return list;
}

candidate_list candidate_cache::make(service_name const & service) const
{
    std::vector<member> takers;
    link_bounds bounds;
    for (auto const & candidate : *this->members)
    {
        if (this->calls(candidate.service, service))
        {
            ++bounds.callers;
            bounds.callers_in_domain += candidate.domain == this->domain;
        }
        if (candidate.service == service && candidate.accepts_work &&
            candidate.state == member_state::alive &&
            !this->configured->is_drained(candidate.domain, candidate.name))
        {
            takers.push_back(candidate);
        }
    }
    auto linked = this->link_to(takers, bounds);
    std::sort(linked.begin(),
              linked.end(),
              [this](member const & a, member const & b)
              {
                  return this->distance(a) < this->distance(b);
              });
    return std::make_shared<std::vector<member> const>(std::move(linked));
}

std::vector<member> candidate_cache::link_to(std::vector<member> const & takers,
                                             link_bounds const & bounds) const
{
    std::vector<link_candidate> candidates;
    candidates.reserve(takers.size());
    for (auto const & taker : takers)
    {
        candidates.push_back({taker.name, taker.domain == this->domain});
    }
    auto const chosen = choose_links(this->self, candidates, bounds);
    absl::flat_hash_set<node_name> const names(chosen.begin(), chosen.end());
    std::vector<member> linked;
    for (auto const & taker : takers)
    {
        if (names.contains(taker.name) || taker.name == this->self)
        {
            linked.push_back(taker);
        }
    }
    return linked;
}

// whether nodes of one service keep links to another
bool candidate_cache::calls(service_name const & caller,
                            service_name const & called) const
{
    auto const * const known = this->configured->find(caller);
    if (known == nullptr || caller == called)
    {
        return caller == called;
    }
    auto const & needs = known->depends_on;
    return std::find(needs.begin(), needs.end(), called) != needs.end();
}

// the local target, those of the same failure domain, the rest
int candidate_cache::distance(member const & candidate) const
{
    if (candidate.name == this->self)
    {
        return 0;
    }
    return candidate.domain == this->domain ? 1 : 2;
}

} // namespace endivehinge::detail

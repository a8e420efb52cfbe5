#include <endivehinge/detail/node/candidate_cache.hpp>

#include <algorithm> // find, sort
#include <utility>   // move

#include <absl/container/flat_hash_set.h> // flat_hash_set

namespace endivehinge::detail
{

candidate_cache::candidate_cache(node_name name, failure_domain local_domain)
    : own_name(std::move(name))
    , own_domain(std::move(local_domain))
{
}

candidate_list candidate_cache::find(
    service_name const & service,
    member_snapshot const & current_members,
    std::shared_ptr<configuration const> const & current_configuration)
{
    if (current_members != this->members ||
        current_configuration != this->configured)
    {
        this->members = current_members;
        this->configured = current_configuration;
        this->lists.clear();
    }
    candidate_list & list = this->lists[service];
    if (list == nullptr)
    {
        list = this->build_list(service);
    }
    return list;
}

candidate_list candidate_cache::build_list(service_name const & service) const
{
    std::vector<member> available_members;
    link_bounds bounds;
    for (auto const & candidate : *this->members)
    {
        if (this->keeps_links_to(candidate.service, service))
        {
            ++bounds.callers;
            bounds.callers_in_domain += candidate.domain == this->own_domain;
        }
        if (candidate.service == service && candidate.accepts_work &&
            candidate.state == member_state::alive &&
            !this->configured->is_drained(candidate.domain, candidate.name))
        {
            available_members.push_back(candidate);
        }
    }
    auto linked = this->select_linked(available_members, bounds);
    std::sort(linked.begin(),
              linked.end(),
              [this](member const & a, member const & b)
              {
                  return this->locality_rank(a) < this->locality_rank(b);
              });
    return std::make_shared<std::vector<member> const>(std::move(linked));
}

std::vector<member>
candidate_cache::select_linked(std::vector<member> const & available_members,
                               link_bounds const & bounds) const
{
    std::vector<link_candidate> candidates;
    candidates.reserve(available_members.size());
    for (auto const & available_member : available_members)
    {
        candidates.push_back({available_member.name,
                              available_member.domain == this->own_domain});
    }
    auto const chosen = choose_links(this->own_name, candidates, bounds);
    absl::flat_hash_set<node_name> const linked_names(chosen.begin(),
                                                      chosen.end());
    std::vector<member> linked;
    for (auto const & available_member : available_members)
    {
        if (linked_names.contains(available_member.name) ||
            available_member.name == this->own_name)
        {
            linked.push_back(available_member);
        }
    }
    return linked;
}

// Whether nodes of from_service keep connections to nodes of to_service.
bool candidate_cache::keeps_links_to(service_name const & from_service,
                                     service_name const & to_service) const
{
    auto const * const from_settings = this->configured->find(from_service);
    if (from_settings == nullptr || from_service == to_service)
    {
        return from_service == to_service;
    }
    auto const & dependencies = from_settings->depends_on;
    return std::find(dependencies.begin(), dependencies.end(), to_service) !=
           dependencies.end();
}

// 0: this node, 1: same failure domain, 2: other failure domains
int candidate_cache::locality_rank(member const & candidate) const
{
    if (candidate.name == this->own_name)
    {
        return 0;
    }
    return candidate.domain == this->own_domain ? 1 : 2;
}

} // namespace endivehinge::detail

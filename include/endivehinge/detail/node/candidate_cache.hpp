#ifndef ENDIVEHINGE_DETAIL_NODE_CANDIDATE_CACHE_HPP
#define ENDIVEHINGE_DETAIL_NODE_CANDIDATE_CACHE_HPP

#include <memory> // shared_ptr
#include <vector> // vector

#include <absl/container/flat_hash_map.h> // flat_hash_map

#include <endivehinge/coordination/configuration.hpp>
#include <endivehinge/coordination/member.hpp>
#include <endivehinge/policy/link_subset.hpp>

namespace endivehinge::detail
{

/// @brief members that accept requests of a service: this node first, then its
///        failure domain, then the others
using candidate_list = std::shared_ptr<std::vector<member> const>;

/// @brief caches the candidates of each service until the members or the
///        configuration change
/// @note thread safety: none; callers must synchronise
class candidate_cache
{
public:
    /// @param own_name name of this node
    /// @param own_domain failure domain of this node
    candidate_cache(node_name own_name, failure_domain own_domain);

    /// @brief returns the candidates of a service; never null
    [[nodiscard]] candidate_list
    find(service_name const & service,
         member_snapshot const & members,
         std::shared_ptr<configuration const> const & configured);

private:
    candidate_list build_list(service_name const & service) const;
    std::vector<member>
    select_linked(std::vector<member> const & available_members,
                  link_bounds const & bounds) const;
    bool keeps_links_to(service_name const & from_service,
                        service_name const & to_service) const;
    int locality_rank(member const & candidate) const;

    node_name own_name;
    failure_domain own_domain;
    member_snapshot members;
    std::shared_ptr<configuration const> configured;
    absl::flat_hash_map<service_name, candidate_list> lists;
};

} // namespace endivehinge::detail

#endif

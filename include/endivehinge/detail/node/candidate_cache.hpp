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

/// @brief the members that take requests of a service, nearest first
using candidate_list = std::shared_ptr<std::vector<member> const>;

/// @brief the candidates of each service, made anew only when the members or
///        the configuration have changed
/// @note thread safety: none; the owner serialises
class candidate_cache
{
public:
    /// @param self this node
    /// @param domain its failure domain
    candidate_cache(node_name self, failure_domain domain);

    /// @brief the candidates of a service; never null
    [[nodiscard]] candidate_list
    find(service_name const & service,
         member_snapshot const & members,
         std::shared_ptr<configuration const> const & configured);

private:
    candidate_list make(service_name const & service) const;
    std::vector<member> link_to(std::vector<member> const & takers,
                                link_bounds const & bounds) const;
    bool calls(service_name const & caller, service_name const & called) const;
    int distance(member const & candidate) const;

    node_name self;
    failure_domain domain;
    member_snapshot members;
    std::shared_ptr<configuration const> configured;
    absl::flat_hash_map<service_name, candidate_list> lists;
};

} // namespace endivehinge::detail

#endif

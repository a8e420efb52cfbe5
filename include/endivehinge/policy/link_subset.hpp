#ifndef ENDIVEHINGE_POLICY_LINK_SUBSET_HPP
#define ENDIVEHINGE_POLICY_LINK_SUBSET_HPP

#include <cstddef> // size_t
#include <vector>  // vector

#include <endivehinge/core/ids.hpp>

namespace endivehinge
{

/// @brief a node that can be chosen for a persistent connection (link)
struct link_candidate
{
    node_name node;
    bool same_domain = false;
};

/// @brief limits on the links to one service
struct link_bounds
{
    // limit on the links from all callers together to one target
    std::size_t max_links_per_target = 250;
    // nodes that keep links to the service: in this failure domain and in all
    std::size_t callers_in_domain = 0;
    std::size_t callers = 0;
    // links per caller, unless max_links_per_target requires fewer
    std::size_t preferred_links = 20;
};

/// @brief chooses the targets of a service that a node keeps links to
///
/// Uses rendezvous hashing: each node gets its own subset, adding or removing a
/// target changes few links, and no node needs a list of the other callers.
/// Most links stay in the local failure domain; the others keep the service
/// reachable when that domain fails.
/// @param self the node that keeps the links
/// @param candidates the targets of the service
/// @return the nodes to link to: at least one in the local failure domain and
/// one in the remote domains, where there are candidates
/// @note pure; links are assigned at random, so max_links_per_target holds with
/// a safety margin. It can be exceeded above 90 callers per target, where the
/// minimum of two links per caller is already too many.
[[nodiscard]] std::vector<node_name>
choose_links(node_name const & self,
             std::vector<link_candidate> const & candidates,
             link_bounds const & bounds);

} // namespace endivehinge

#endif

#ifndef ENDIVEHINGE_POLICY_LINK_SUBSET_HPP
#define ENDIVEHINGE_POLICY_LINK_SUBSET_HPP

#include <cstddef> // size_t
#include <vector>  // vector

#include <endivehinge/core/ids.hpp>

namespace endivehinge
{

/// @brief a node that links may be kept to
struct link_candidate
{
    node_name node;
    bool same_domain = false;
};

/// @brief bounds of the links of one service
struct link_bounds
{
    // links that other nodes may hold to one node, over all callers
    std::size_t links_per_target = 250;
    // nodes that keep links to the service, in this failure domain and in all
    std::size_t callers_in_domain = 0;
    std::size_t callers = 0;
    // links that a node wants; fewer where the bound asks for it
    std::size_t wanted = 20;
};

/// @brief which targets of a service a node keeps links to
///
/// By rendezvous hashing: each node gets its own subset, a target that comes
/// or goes changes few of them, and no node has to know the other callers.
/// Same failure domain first; the rest keeps a way out when the domain fails.
/// @param self the node that keeps the links
/// @param candidates the targets of the service
/// @return the nodes to link to; at least one from each side that has any
/// @note pure; the bound holds, with a margin for chance, up to 90 callers for
/// each target: beyond, two links a caller are already too many
[[nodiscard]] std::vector<node_name>
choose_links(node_name const & self,
             std::vector<link_candidate> const & candidates,
             link_bounds const & bounds);

} // namespace endivehinge

#endif

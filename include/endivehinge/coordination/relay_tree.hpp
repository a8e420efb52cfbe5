#ifndef ENDIVEHINGE_COORDINATION_RELAY_TREE_HPP
#define ENDIVEHINGE_COORDINATION_RELAY_TREE_HPP

#include <vector> // vector

#include <endivehinge/coordination/replication_source.hpp>
#include <endivehinge/core/endpoint.hpp>

namespace endivehinge
{

/// @brief the nodes that a node notifies of a change it has received
///
/// The nodes of a group form a tree, whose root is the node that the others
/// replicate from. Handles a long configuration: no node sends it to more than
/// a few others, whose links are slow.
/// @param own the name of this node
/// @param candidates the other nodes of the failure domain; failed ones are
/// left out of the tree
/// @note pure; thread safety: any thread
[[nodiscard]] std::vector<endpoint>
relay_children(node_name const & own,
               std::vector<replication_candidate> const & candidates);

} // namespace endivehinge

#endif

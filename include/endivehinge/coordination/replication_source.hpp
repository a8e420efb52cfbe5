#ifndef ENDIVEHINGE_COORDINATION_REPLICATION_SOURCE_HPP
#define ENDIVEHINGE_COORDINATION_REPLICATION_SOURCE_HPP

#include <optional> // optional
#include <vector>   // vector

#include <endivehinge/core/endpoint.hpp>
#include <endivehinge/core/ids.hpp>

namespace endivehinge
{

/// @brief a node of the same failure domain from which others can replicate the
///        stored objects
struct replication_candidate
{
    node_name node;
    endpoint peer;
    // it did not respond, or cannot reach the store itself
    bool failed = false;
};

/// @brief where a node replicates from: another node or the store itself
struct replication_source
{
    std::optional<endpoint> peer;
    // without a peer: whether the node may call the store. If not, it pulls
    // from any other node, since enough nodes of its domain call the store
    bool may_call_store = false;
};

/// @brief chooses where a node replicates from, so that few nodes call the
///        store
///
/// The nodes of a failure domain form groups of bounded size by a hash of their
/// names. The node with the lowest hash in a group replicates from the store,
/// the others from that node; if it fails, the next one takes over, but only a
/// few nodes of a group in all. This bounds the calls to the store and to each
/// node at any fleet size, also while the store is down or refuses some nodes.
/// @param own this node
/// @param candidates the other nodes of its failure domain that it knows of
/// @param seeds nodes to replicate from if there is no candidate; without those
///        that failed
/// @note pure; thread safety: any thread
[[nodiscard]] replication_source
choose_replication_source(node_name const & own,
                          std::vector<replication_candidate> const & candidates,
                          std::vector<endpoint> const & seeds);

} // namespace endivehinge

#endif

#ifndef ENDIVEHINGE_COORDINATION_REPLICATION_SOURCE_HPP
#define ENDIVEHINGE_COORDINATION_REPLICATION_SOURCE_HPP

#include <optional> // optional
#include <vector>   // vector

#include <endivehinge/core/endpoint.hpp>
#include <endivehinge/core/ids.hpp>

namespace endivehinge
{

/// @brief a node of the same failure domain that could follow the store for
/// others
struct replication_candidate
{
    node_name node;
    endpoint peer;
    // it did not answer, or has no contact to the store itself
    bool failed = false;
};

/// @brief whom a node follows: another node, or the store itself
struct replication_source
{
    // nothing: the store itself
    std::optional<endpoint> peer;
};

/// @brief chooses whom a node follows, so that only few nodes call the store
///
/// The nodes of a failure domain form groups of a bounded size by a hash of
/// their names; the first of each group by hash follows the store, the others
/// follow it. Where it fails the next one takes over. The calls to the store
/// and the calls to one node are bounded, whatever the size of the fleet.
/// @param own this node
/// @param others the known nodes of its failure domain, without itself
/// @param seeds asked where no other node is known; failed ones left out
/// @note pure; thread safety: any thread
[[nodiscard]] replication_source
choose_replication_source(node_name const & own,
                          std::vector<replication_candidate> const & others,
                          std::vector<endpoint> const & seeds);

} // namespace endivehinge

#endif

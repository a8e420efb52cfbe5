#ifndef ENDIVEHINGE_COORDINATION_WATCHER_ELECTION_HPP
#define ENDIVEHINGE_COORDINATION_WATCHER_ELECTION_HPP

#include <cstddef> // size_t
#include <vector>  // vector

#include <endivehinge/coordination/member.hpp>

namespace endivehinge
{

/// @brief nodes of each failure domain that hold a watch on the platform
constexpr std::size_t watchers_per_failure_domain = 3;

/// @brief whether a node is to hold a watch on the platform
/// @param self the node that asks; it need not be among the members
/// @param domain its failure domain
/// @param members as it knows them; only the alive are counted
/// @param watchers how many the failure domain should have
/// @note ranks by rendezvous hash: when a watcher goes, one other takes its
///       place and no other changes. Nodes whose views differ elect a few
///       more or fewer, which costs reads and no correctness. Pure; thread
///       safety: any thread.
[[nodiscard]] bool is_watcher(node_name const & self,
                              failure_domain const & domain,
                              std::vector<member> const & members,
                              std::size_t watchers);

} // namespace endivehinge

#endif

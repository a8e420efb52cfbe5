#ifndef ENDIVEHINGE_COORDINATION_WATCHER_ELECTION_HPP
#define ENDIVEHINGE_COORDINATION_WATCHER_ELECTION_HPP

#include <cstddef> // size_t
#include <vector>  // vector

#include <endivehinge/coordination/member.hpp>

namespace endivehinge
{

/// @brief number of nodes per failure domain that watch the platform
constexpr std::size_t watchers_per_failure_domain = 3;

/// @brief whether a node is elected to watch the platform
/// @param self the node; need not be among the members
/// @param domain failure domain of the node
/// @param members the node's view of the members; only those in state alive
///        count
/// @param watchers number of watchers in the failure domain
/// @note Ranks the members by rendezvous hashing: if a watcher fails, one other
///       node replaces it and no other role changes. Nodes whose views differ
///       elect slightly more or fewer watchers, which affects the number of
///       reads but not correctness. Pure; thread safety: any thread.
[[nodiscard]] bool is_watcher(node_name const & self,
                              failure_domain const & domain,
                              std::vector<member> const & members,
                              std::size_t watchers);

} // namespace endivehinge

#endif

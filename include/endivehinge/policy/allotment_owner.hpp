#ifndef ENDIVEHINGE_POLICY_ALLOTMENT_OWNER_HPP
#define ENDIVEHINGE_POLICY_ALLOTMENT_OWNER_HPP

#include <cstdint> // uint64_t

#include <endivehinge/core/ids.hpp>

namespace endivehinge
{

/// @brief the rank of a node among the possible owners of an account; the node
/// with the highest rank is the owner
///
/// Rendezvous hashing: if a node leaves, only its accounts get another owner.
/// @note pure; the same in every process; thread safety: any thread
[[nodiscard]] std::uint64_t allotment_owner_rank(account_name const & account,
                                                 node_name const & node);

} // namespace endivehinge

#endif

#ifndef ENDIVEHINGE_COORDINATION_ASSIGNMENT_HPP
#define ENDIVEHINGE_COORDINATION_ASSIGNMENT_HPP

#include <cstdint>  // uint64_t
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

#include <endivehinge/coordination/owner_identity.hpp>
#include <endivehinge/core/failure.hpp>
#include <endivehinge/core/ids.hpp>

namespace endivehinge
{

/// @brief the owners of a service's keys in one epoch, as stored on the
///        platform
struct assignment
{
    epoch number;
    // the leader: renews the stored object and grants the members' leases
    owner_identity leader;
    // counts the leader's renewals, so that it can recognize its own writes
    std::uint64_t renewals = 0;
    // sorted by name; no name occurs twice
    std::vector<owner_identity> members;
    // the members of the preceding epoch
    std::vector<owner_identity> previous;

    /// @brief serializes the assignment to the text stored on the platform
    [[nodiscard]] std::string to_text() const;

    /// @brief parses the text stored on the platform
    /// @return nothing if the text is malformed; reason then says why
    [[nodiscard]] static std::optional<assignment>
    from_text(std::string const & text, failure & reason);
};

/// @brief whether two assignments result from the same write
[[nodiscard]] bool operator==(assignment const & a, assignment const & b);

/// @brief selects the owner of a key by rendezvous hashing over the owner names
/// @return null if there are no owners
/// @note pure; thread safety: any thread
[[nodiscard]] owner_identity const *
owner_of(idempotency_key const & key,
         std::vector<owner_identity> const & owners);

/// @brief whether this incarnation of a node is among the owners
/// @note pure; thread safety: any thread
[[nodiscard]] bool contains(std::vector<owner_identity> const & owners,
                            owner_identity const & owner);

/// @brief whether any incarnation of a node is among the owners
/// @note pure; thread safety: any thread
[[nodiscard]] bool contains_name(std::vector<owner_identity> const & owners,
                                 node_name const & name);

} // namespace endivehinge

#endif

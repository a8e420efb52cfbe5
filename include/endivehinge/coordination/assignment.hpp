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

/// @brief who owns which keys of a service, as the platform's object says it
struct assignment
{
    epoch number;
    // renews the object, and grants the leases of the members
    owner_identity leader;
    // counts the renewals by one keeper, so that it knows its own writes
    std::uint64_t renewals = 0;
    // sorted; each name once
    std::vector<owner_identity> members;
    // the members of the epoch before
    std::vector<owner_identity> previous;

    /// @brief the text that the platform keeps
    [[nodiscard]] std::string to_text() const;

    /// @brief reads the text that the platform keeps
    [[nodiscard]] static std::optional<assignment>
    from_text(std::string const & text, failure & reason);
};

/// @brief whether two assignments are one and the same write
[[nodiscard]] bool operator==(assignment const & a, assignment const & b);

/// @brief the owner of a key by rendezvous hashing over the owners' names
/// @return null where there are no owners
/// @note pure; thread safety: any thread
[[nodiscard]] owner_identity const *
owner_of(idempotency_key const & key,
         std::vector<owner_identity> const & owners);

/// @brief whether that run of a node is among them
/// @note pure; thread safety: any thread
[[nodiscard]] bool contains(std::vector<owner_identity> const & owners,
                            owner_identity const & one);

/// @brief whether any run of a node is among them
/// @note pure; thread safety: any thread
[[nodiscard]] bool contains_name(std::vector<owner_identity> const & owners,
                                 node_name const & name);

} // namespace endivehinge

#endif

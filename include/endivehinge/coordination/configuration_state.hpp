#ifndef ENDIVEHINGE_COORDINATION_CONFIGURATION_STATE_HPP
#define ENDIVEHINGE_COORDINATION_CONFIGURATION_STATE_HPP

#include <cstddef> // size_t
#include <string>  // string
#include <vector>  // vector

#include <absl/container/btree_map.h> // btree_map

#include <endivehinge/coordination/change_set.hpp>

namespace endivehinge
{

/// @brief what came of merging a set of changes
enum class merge_result
{
    // something newer was taken in
    advanced,
    // all of it was known
    unchanged,
    // changes between ours and these are missing, so nothing was taken in
    gap,
};

/// @brief the operators' objects as one node knows them
/// @note the state is always the platform's at one version, `version()`: a set
///       of changes is taken in only where it joins on to it. Neither that
///       version nor the version of any object ever goes back, whatever is
///       merged and in whatever order. Thread safety: as a plain object.
class configuration_state
{
public:
    /// @brief takes in changes from the platform or from a peer
    /// @note old, doubled and overlapping sets are harmless
    [[nodiscard]] merge_result merge(change_set const & changes);

    /// @brief the changes after a version that a peer has
    /// @param after what the peer has
    /// @param byte_bound about how large the set may become; at least one
    ///        object is in it, and its `upto` says how far it reaches
    [[nodiscard]] change_set changes_after(object_version after,
                                           std::size_t byte_bound) const;

    /// @brief every change up to this version is in
    [[nodiscard]] object_version version() const;

    /// @brief the objects that are not removed, by name
    [[nodiscard]] std::vector<stored_object> objects() const;

    /// @brief the version of an object, also of a removed one; 0: none
    [[nodiscard]] object_version version_of(std::string const & name) const;

private:
    object_version reached;
    // removed ones stay, so that their removal reaches peers
    absl::btree_map<std::string, stored_object> by_name;
};

} // namespace endivehinge

#endif

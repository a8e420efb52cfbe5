#ifndef ENDIVEHINGE_COORDINATION_CONFIGURATION_STATE_HPP
#define ENDIVEHINGE_COORDINATION_CONFIGURATION_STATE_HPP

#include <cstddef> // size_t
#include <string>  // string
#include <vector>  // vector

#include <absl/container/btree_map.h> // btree_map

#include <endivehinge/coordination/change_set.hpp>

namespace endivehinge
{

/// @brief result of merging a change set
enum class merge_result
{
    // the version of the state increased
    advanced,
    // the state already contains all of the changes
    unchanged,
    // changes between the state and the set are missing; nothing was merged
    gap,
};

/// @brief one node's copy of the platform's configuration objects
/// @note Invariant: the state equals the platform's state at one version,
///       `version()`. A change set is merged only if no change is missing
///       between that version and the set. Neither that version nor the
///       version of any object ever decreases, whatever is merged and in
///       whatever order. Thread safety: none; callers synchronize access.
class configuration_state
{
public:
    /// @brief merges changes received from the platform or from a peer
    /// @note Outdated, duplicate and overlapping sets are safe.
    [[nodiscard]] merge_result merge(change_set const & changes);

    /// @brief returns the changes that a peer is missing
    /// @param after the peer's version
    /// @param max_bytes approximate size limit, by names and values; the first
    ///        object is included regardless, and `upto` of the result is the
    ///        last version that it covers
    [[nodiscard]] change_set changes_after(object_version after,
                                           std::size_t max_bytes) const;

    /// @brief every change up to this version has been merged
    [[nodiscard]] object_version version() const;

    /// @brief returns the objects that are not removed, ordered by name
    [[nodiscard]] std::vector<stored_object> objects() const;

    /// @brief returns the version of an object, also of a removed one; 0 if the
    ///        name is unknown
    [[nodiscard]] object_version version_of(std::string const & name) const;

private:
    object_version merged_version;
    // removed objects remain as tombstones, so that peers learn of the removal
    absl::btree_map<std::string, stored_object> objects_by_name;
};

} // namespace endivehinge

#endif

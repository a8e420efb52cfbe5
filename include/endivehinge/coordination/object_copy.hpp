#ifndef ENDIVEHINGE_COORDINATION_OBJECT_COPY_HPP
#define ENDIVEHINGE_COORDINATION_OBJECT_COPY_HPP

#include <cstddef> // size_t
#include <string>  // string

#include <absl/container/btree_map.h> // btree_map

#include <endivehinge/coordination/object_changes.hpp>

namespace endivehinge
{

/// @brief a node's copy of all objects of one kind, and the changes that nodes
///        with older copies lack
///
/// The versions are those of the store. The version of a copy never decreases:
/// changes up to an older version are ignored. A complete list of a newer era
/// replaces the copy, also where its revisions are lower; single changes of
/// another era are ignored, because their base is missing.
/// @note pure; thread safety: none, the owner serialises calls
class object_copy
{
public:
    /// @param tombstone_limit the number of deletions that are kept to be
    ///        passed on; a copy older than the oldest of them is replaced
    ///        completely
    explicit object_copy(std::size_t tombstone_limit = 512);

    /// @brief applies changes from the store or from another node
    /// @return the changes that had an effect, including deletions, which have
    ///         the last content of the object
    object_changes apply(object_changes const & changes);

    /// @brief the changes since an older version
    [[nodiscard]] object_changes changes_since(object_version older) const;

    /// @brief the version of the store that the copy reflects; 0 if nothing was
    ///        replicated yet
    [[nodiscard]] object_version version() const;

    /// @brief finds an object by name; null if there is none
    [[nodiscard]] replicated_object const *
    find(std::string const & name) const;

private:
    void replace(object_changes const & changes, object_changes & applied);
    void merge(object_changes const & changes, object_changes & applied);
    void evict_tombstones();

    std::size_t max_tombstones;
    object_version current_version;
    // tombstones of deletions up to this version may have been dropped
    object_version tombstones_since;
    absl::btree_map<std::string, replicated_object> objects;
    absl::btree_map<std::string, object_version> tombstones;
};

} // namespace endivehinge

#endif

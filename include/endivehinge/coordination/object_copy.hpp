#ifndef ENDIVEHINGE_COORDINATION_OBJECT_COPY_HPP
#define ENDIVEHINGE_COORDINATION_OBJECT_COPY_HPP

#include <cstddef> // size_t
#include <string>  // string

#include <absl/container/btree_map.h> // btree_map

#include <endivehinge/coordination/object_changes.hpp>

namespace endivehinge
{

/// @brief a node's copy of one kind of objects, and what newer it has for
/// nodes with older copies
///
/// Versions are the store's. A copy never goes back: changes to an older
/// version are ignored.
/// @note pure; thread safety: none, the owner serialises
class object_copy
{
public:
    /// @param remembered deletions that are passed on as such; an older copy
    /// than the oldest of them is replaced as a whole
    explicit object_copy(std::size_t remembered = 512);

    /// @brief takes in changes from the store or from another node
    /// @return those that were news, deletions included
    object_changes apply(object_changes const & changes);

    /// @brief what a copy of an older version lacks
    [[nodiscard]] object_changes changes_since(object_version older) const;

    /// @brief the version that the copy reflects; 0: nothing is known
    [[nodiscard]] object_version version() const;

    /// @brief the object of a name, or null
    [[nodiscard]] replicated_object const *
    find(std::string const & name) const;

private:
    void replace(object_changes const & changes, object_changes & news);
    void merge(object_changes const & changes, object_changes & news);
    void forget_deletions();

    std::size_t remembered_deletions;
    object_version reflected;
    // deletions before this version are no longer known
    object_version deletions_since;
    absl::btree_map<std::string, replicated_object> objects;
    absl::btree_map<std::string, object_version> deletions;
};

} // namespace endivehinge

#endif

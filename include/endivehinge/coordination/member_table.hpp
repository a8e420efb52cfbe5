#ifndef ENDIVEHINGE_COORDINATION_MEMBER_TABLE_HPP
#define ENDIVEHINGE_COORDINATION_MEMBER_TABLE_HPP

#include <cstddef>  // size_t
#include <cstdint>  // uint32_t
#include <optional> // optional
#include <vector>   // vector

#include <absl/container/flat_hash_map.h> // flat_hash_map
#include <absl/strings/string_view.h>     // string_view

#include <endivehinge/coordination/member_digest.hpp>
#include <endivehinge/coordination/member_update.hpp>
#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief index of a member in the table, stable until its entry is removed
using member_index = std::uint32_t;

/// @brief a node's view of another member
struct member_entry
{
    std::shared_ptr<member const> record; // null: the index is free
    time_point changed_at;
    member_state state = member_state::alive;
    // observed by this node itself; never sent to others
    bool unreachable = false;

    /// @brief state shown to readers of the member directory
    [[nodiscard]] member_state visible_state() const
    {
        return this->unreachable && !is_removed(this->state)
                   ? member_state::unreachable
                   : this->state;
    }

    /// @brief whether the member is present and neither left nor dead
    [[nodiscard]] bool is_active() const
    {
        return this->record != nullptr && !is_removed(this->state);
    }
};

/// @brief a node's view of all other members
/// @note thread safety: none; for use on one thread
class member_table
{
public:
    /// @param capacity maximum number of members; updates of further members
    ///        are ignored
    explicit member_table(std::size_t capacity);

    /// @brief applies an update if it supersedes the member's entry
    /// @return index of the member, or nothing if the update was ignored
    std::optional<member_index> apply(member_update const & update,
                                      time_point now);

    /// @brief returns the index of a member
    [[nodiscard]] std::optional<member_index>
    find(node_name const & name) const;

    /// @brief returns an entry; its record is null if the index is free
    [[nodiscard]] member_entry const & at(member_index index) const;

    /// @brief sets whether this node can reach a member; a suspected member
    ///        becomes alive, which ends the suspicion
    void set_unreachable(member_index index, bool unreachable);

    /// @brief removes the entries of members that left or died at least
    ///        `retention` ago
    void remove_expired_tombstones(time_point now, duration retention);

    /// @brief returns the number of indexes, including free ones
    [[nodiscard]] std::size_t index_count() const;

    /// @brief returns the number of members that have neither left nor died
    [[nodiscard]] std::size_t active_count() const;

    /// @brief returns the digest of the members that have neither left nor died
    [[nodiscard]] member_digest const & digest() const;

private:
    static bool supersedes(member_update const & update,
                           member_entry const & existing);
    void
    replace(member_entry & entry, member_update const & update, time_point now);
    member_index allocate_index();

    std::size_t capacity;
    std::vector<member_entry> entries;
    std::vector<member_index> free_indexes;
    // the keys refer to the names in the entries' records
    absl::flat_hash_map<absl::string_view, member_index> indexes_by_name;
    std::size_t active_entries = 0;
    member_digest active_digest;
};

} // namespace endivehinge

#endif

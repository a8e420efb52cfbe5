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

/// @brief the place of a member in the table; stays while it is in it
using member_index = std::uint32_t;

/// @brief what a node knows of one other member
struct member_entry
{
    std::shared_ptr<member const> record; // null: the place is free
    time_point changed;
    member_state state = member_state::alive;
    // by this node's own evidence; never told to others
    bool unreachable = false;

    /// @brief the state as readers of the directory see it
    [[nodiscard]] member_state visible_state() const
    {
        return this->unreachable && !is_removed(this->state)
                   ? member_state::unreachable
                   : this->state;
    }

    /// @brief whether it takes part
    [[nodiscard]] bool present() const
    {
        return this->record != nullptr && !is_removed(this->state);
    }
};

/// @brief all other members as this node knows them
/// @note thread safety: one thread
class member_table
{
public:
    /// @param capacity the most members; more are not taken in
    explicit member_table(std::size_t capacity);

    /// @brief takes an update in if it is news
    /// @return the member's place where it was news
    std::optional<member_index> apply(member_update const & update,
                                      time_point now);

    /// @brief the place of a member
    [[nodiscard]] std::optional<member_index>
    find(node_name const & name) const;

    /// @brief an entry; its about is null where the place is free
    [[nodiscard]] member_entry const & at(member_index index) const;

    /// @brief marks whether this node can reach a member
    void set_unreachable(member_index index, bool unreachable);

    /// @brief forgets the members that have been gone for a time
    void forget_gone(time_point now, duration retention);

    /// @brief the number of places, free ones counted
    [[nodiscard]] std::size_t places() const;

    /// @brief the number of members that take part
    [[nodiscard]] std::size_t present() const;

    /// @brief the checksums of the members that take part
    [[nodiscard]] member_digest const & digest() const;

private:
    static bool is_news(member_update const & update,
                        member_entry const & known);
    void
    replace(member_entry & entry, member_update const & update, time_point now);
    member_index take_place();

    std::size_t capacity;
    std::vector<member_entry> entries;
    std::vector<member_index> free_places;
    // the keys lie in the entries' records
    absl::flat_hash_map<absl::string_view, member_index> places_by_name;
    std::size_t present_count = 0;
    member_digest checksums;
};

} // namespace endivehinge

#endif

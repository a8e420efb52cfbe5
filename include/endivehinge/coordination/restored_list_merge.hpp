#ifndef ENDIVEHINGE_COORDINATION_RESTORED_LIST_MERGE_HPP
#define ENDIVEHINGE_COORDINATION_RESTORED_LIST_MERGE_HPP

#include <cstdint>  // uint64_t
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

#include <absl/container/btree_map.h> // btree_map

#include <endivehinge/coordination/restored_list_options.hpp>
#include <endivehinge/coordination/restored_object.hpp>
#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief decides which objects of one kind keep the state that this node knows
///        after the store was restored from an older copy
///
/// The restored list is an earlier part of the history that this node followed,
/// up to a revision that it does not know, with changes made since. An object
/// whose state in the list is the earlier one is held: the node keeps what it
/// knew until the object changes in the restored store, or until a settle time
/// has passed; then the store counts.
/// @note pure; thread safety: none, the owner serialises calls
class restored_list_merge
{
public:
    explicit restored_list_merge(restored_list_options settings);

    /// @brief remembers a deletion, outside of a restored list
    /// @param last the deleted object; its version is that of the deletion
    void record_deletion(std::string const & name, object_digest const & last);

    /// @brief records that an object which the restored store does not contain
    /// was deleted again; ends its hold and keeps a deletion that is remembered
    void record_repeated_deletion(std::string const & name);

    /// @brief a change of an object that the store reported after the restored
    ///        list; ends its hold
    void record_change(std::string const & name);

    /// @brief decides on all objects of a restored list, and on those that it
    ///        lacks
    /// @return the number of objects that are held because of it
    std::size_t apply(std::vector<restored_object> const & objects,
                      time_point now);

    /// @brief whether the node keeps what it knew of an object
    [[nodiscard]] bool holds(std::string const & name) const;

    /// @brief ends the holds whose settle time has passed
    /// @return the objects for which the store's state counts from now on
    [[nodiscard]] std::vector<std::string> settle(time_point now);

    /// @brief when to call settle(); empty if no hold ends by itself
    [[nodiscard]] std::optional<time_point> next_settle_time() const;

    /// @brief objects that were deleted for good and that the store has again
    [[nodiscard]] std::vector<std::string> restored_deletions() const;

private:
    // how the listed state of an object relates to the known one
    enum class relation
    {
        same,
        earlier,
        newer,
    };

    struct hold
    {
        duration settle_time{0};
        // empty: only a change ends it
        std::optional<time_point> until;
    };

    [[nodiscard]] relation relation_of(restored_object const & object,
                                       std::uint64_t lost_revision) const;
    [[nodiscard]] hold hold_of(restored_object const & object,
                               time_point now) const;
    void renew_holds(time_point now);
    void evict_deletions();

    restored_list_options options;
    absl::btree_map<std::string, object_digest> deletions;
    absl::btree_map<std::string, hold> held;
};

} // namespace endivehinge

#endif

#ifndef ENDIVEHINGE_COORDINATION_RECORD_COVERAGE_HPP
#define ENDIVEHINGE_COORDINATION_RECORD_COVERAGE_HPP

#include <cstddef>  // size_t
#include <memory>   // shared_ptr
#include <optional> // optional
#include <vector>   // vector

#include <endivehinge/coordination/assignment.hpp>
#include <endivehinge/coordination/clock_reading.hpp>
#include <endivehinge/coordination/owner_identity.hpp>

namespace endivehinge
{

/// @brief the time since which an owner's records are complete, for each key
///
/// A key that comes from another owner has a gap: records of uses before this
/// owner's first lease of the epoch may be missing, until the earlier owner has
/// handed over its records or the validity window has passed.
/// @note a pure state machine; thread safety: none, the caller must hold a lock
class record_coverage
{
public:
    /// @param self this owner
    /// @param window the validity window of a key
    record_coverage(owner_identity self, duration window);

    /// @brief adopts the next assignment
    /// @param adopted_previous_epoch whether this owner had adopted the
    ///        preceding epoch
    void adopt(assignment const & next, bool adopted_previous_epoch);

    /// @brief notes that this owner holds a lease of the last adopted epoch
    void on_lease_granted(clock_reading const & reading);

    /// @brief notes that an earlier owner has handed over all of its records
    /// @param number the epoch in which the keys changed owner
    /// @param complete_since the time since which the records of the source are
    ///        complete; nothing if none is missing
    void on_handover(owner_identity const & source,
                     epoch number,
                     std::optional<wall_time> complete_since);

    /// @brief the time since which the records of a key are complete
    /// @return nothing if no record is missing
    [[nodiscard]] std::optional<wall_time>
    complete_since(idempotency_key const & key, time_point now);

    /// @brief the time since which the records of every key are complete
    /// @return nothing if no record is missing
    [[nodiscard]] std::optional<wall_time>
    complete_since_any_key(time_point now);

    /// @brief whether records of the key are still expected from an earlier
    ///        owner
    [[nodiscard]] bool awaits_records(idempotency_key const & key,
                                      time_point now) const;

    /// @brief changes the validity window of all keys
    void set_window(duration window);

private:
    struct gap
    {
        epoch number;
        // null: the gap covers every key
        std::shared_ptr<std::vector<owner_identity> const> owners;
        owner_identity source;
        // the maximum until the first lease
        wall_time since = wall_time::max();
        std::optional<time_point> lease_start;
        bool handed_over = false;

        bool covers(idempotency_key const & key) const;
    };

    struct handover
    {
        owner_identity source;
        epoch number;
        std::optional<wall_time> complete_since;
    };

    void expire(time_point now);
    void merge_gaps();
    void apply_handover(handover const & received);

    owner_identity self;
    duration window;
    std::vector<gap> gaps;
    // the latest handover of each source; it may arrive before the assignment
    std::vector<handover> handovers;
};

} // namespace endivehinge

#endif

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

/// @brief since when an owner's records are whole, key by key
///
/// A key that comes from another owner has a gap: uses before this owner's
/// first lease of the epoch may be missing, until the earlier owner's records
/// have come in or the validity window has passed.
/// @note a pure state machine; thread safety: none, hold a lock
class record_coverage
{
public:
    /// @param self this owner
    /// @param window how long a key is valid
    record_coverage(owner_identity self, duration window);

    /// @brief takes in the next assignment
    /// @param followed whether this owner had adopted the epoch before
    void adopt(assignment const & next, bool followed);

    /// @brief this owner holds a lease of the epoch that was adopted last
    void hold(clock_reading const & at);

    /// @brief all records of an earlier owner have come in
    /// @param number the epoch in which the keys changed their owner
    /// @param complete_since since when the records of the source are whole
    void hand_over(owner_identity const & source,
                   epoch number,
                   std::optional<wall_time> complete_since);

    /// @brief uses of the key before that may be missing here
    /// @return nothing where none is missing
    [[nodiscard]] std::optional<wall_time>
    complete_since(idempotency_key const & key, time_point now);

    /// @brief the same for whatever key
    [[nodiscard]] std::optional<wall_time>
    complete_since_any_key(time_point now);

    /// @brief whether records of the key are likely to come in soon
    [[nodiscard]] bool awaits_records(idempotency_key const & key,
                                      time_point now) const;

    /// @brief changes how long keys are valid from now on
    void set_window(duration window);

private:
    struct gap
    {
        epoch number;
        // null: every key
        std::shared_ptr<std::vector<owner_identity> const> owners;
        owner_identity source;
        // far ahead until the first lease
        wall_time since = wall_time::max();
        std::optional<time_point> held;
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
    void join_gaps();
    void fill(handover const & received);

    owner_identity self;
    duration window;
    std::vector<gap> gaps;
    // the latest of each source, which may come before the assignment
    std::vector<handover> handovers;
};

} // namespace endivehinge

#endif

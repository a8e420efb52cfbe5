#ifndef ENDIVEHINGE_COORDINATION_IDEMPOTENCY_TABLE_HPP
#define ENDIVEHINGE_COORDINATION_IDEMPOTENCY_TABLE_HPP

#include <cstddef>    // size_t
#include <deque>      // deque
#include <functional> // function
#include <memory>     // shared_ptr
#include <optional>   // optional
#include <vector>     // vector

#include <absl/container/flat_hash_map.h> // flat_hash_map

#include <endivehinge/coordination/clock_reading.hpp>
#include <endivehinge/coordination/idempotency_limits.hpp>
#include <endivehinge/coordination/idempotency_record.hpp>

namespace endivehinge
{

/// @brief what a key owner may do for a use of a key
enum class key_decision
{
    started,       // it is new: dispatch, then call finish
    in_flight,     // its first request runs
    finished,      // the kept outcome is there
    indeterminate, // a request with it may have run
    reused,        // it named another request: refuse this one
    stamp_ahead,   // its time stamp lies in the future: refuse this request
    full,          // no room for another key: refuse this request
};

/// @brief a decision and, where finished, the kept outcome
struct key_report
{
    key_decision decision = key_decision::indeterminate;
    std::shared_ptr<outcome const> result;
};

/// @brief the keys of one service that this node owns, with their answers
///
/// A key starts once within its window. At the bound new keys are refused;
/// no record is dropped within its window. A key without a record is new only
/// where any earlier use of it would be on record here:
/// - a stamped key (UUIDv7), if its stamp lies within the window and after
///   the time since which the records are whole;
/// - another key, if the records are whole.
/// @note a pure state machine; thread safety: none, hold a lock
class idempotency_table
{
public:
    /// @param limits room for at least one key
    explicit idempotency_table(idempotency_limits const & limits);

    /// @brief decides on a use of a key, and records the key where it is new
    /// @param complete_since records of uses before that may be missing here;
    ///        nothing where none is
    /// @return the kept answer only to the same request
    [[nodiscard]] key_report begin(idempotency_key const & key,
                                   request_fingerprint fingerprint,
                                   std::optional<wall_time> complete_since,
                                   clock_reading const & at);

    /// @brief records how the request of a key ended; one that was rejected
    ///        did not run, and gives its key back
    /// @return the outcome as it is kept, for those who wait for it
    /// @pre begin gave `started`, and finish was not called since
    std::shared_ptr<outcome const> finish(idempotency_key const & key,
                                          outcome result,
                                          clock_reading const & at);

    /// @brief whether the first request of a key runs
    [[nodiscard]] bool is_in_flight(idempotency_key const & key) const;

    /// @brief copies the records that go to another owner
    /// @param selects the keys that go
    [[nodiscard]] std::vector<idempotency_record>
    export_records(std::function<bool(idempotency_key const &)> const & selects,
                   clock_reading const & at);

    /// @brief takes in the records of an earlier owner, beyond the bound too
    /// @note what ran elsewhere is indeterminate until its answer comes in
    void import_records(std::vector<idempotency_record> const & records,
                        clock_reading const & at);

    /// @brief changes how long keys are kept from now on
    /// @note a longer window does not bring back what has expired
    void set_window(duration window, clock_reading const & at);

    /// @brief the keys that are held
    [[nodiscard]] std::size_t size() const;

    /// @brief the bytes of answers that are held or set aside
    [[nodiscard]] std::size_t answer_bytes() const;

    /// @brief the bounds
    [[nodiscard]] idempotency_limits const & bounds() const;

private:
    struct entry
    {
        key_state state = key_state::in_flight;
        request_fingerprint fingerprint;
        std::shared_ptr<outcome const> result;
        std::size_t bytes = 0;
        time_point recorded;
        wall_time recorded_wall;
    };

    struct ending
    {
        idempotency_key key;
        time_point recorded;
    };

    bool is_new(idempotency_key const & key,
                std::optional<wall_time> complete_since,
                clock_reading const & at) const;
    void expire(time_point now);
    void settle(idempotency_key const & key, entry & settled);
    void import_record(idempotency_record const & source,
                       clock_reading const & at);

    idempotency_limits limits;
    absl::flat_hash_map<idempotency_key, entry> entries;
    // settled keys, the first recorded first
    std::deque<ending> endings;
    std::size_t bytes = 0;
    // uses before that may have expired under a shorter window
    wall_time kept_since = wall_time::min();
};

} // namespace endivehinge

#endif

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

/// @brief how a key owner must handle a request with a key
enum class key_decision
{
    started,       // the key is new: dispatch the request, then call finish
    in_flight,     // the first request with the key is still running
    finished,      // the stored outcome is returned
    indeterminate, // an earlier request with the key may have run
    reused,        // the key belongs to another request: reject this one
    stamp_ahead, // the key's time stamp lies in the future: reject the request
    full,        // limit reached: reject the request
};

/// @brief a decision and, if finished, the stored outcome
struct key_report
{
    key_decision decision = key_decision::indeterminate;
    std::shared_ptr<outcome const> result;
};

/// @brief the idempotency keys of one service that this node owns, and the
///        answers to their requests
///
/// A key starts at most once within its validity window. No record is dropped
/// within that window; at the limit, new keys are rejected instead. A key
/// without a record counts as new only if a record of any earlier use would be
/// stored here:
/// - a key with a time stamp (UUIDv7), if the time stamp lies within the window
///   and after the time since which the records are complete;
/// - any other key, if the records are complete.
/// @note a pure state machine; thread safety: none, the caller must hold a lock
class idempotency_table
{
public:
    /// @param limits must allow at least one key
    explicit idempotency_table(idempotency_limits const & limits);

    /// @brief decides how to handle a request with a key, and records a new key
    /// @param complete_since records of uses before this time may be missing
    ///        here; nothing if the records are complete
    /// @return the stored answer, only if the fingerprint is that of the first
    ///         request
    [[nodiscard]] key_report begin(idempotency_key const & key,
                                   request_fingerprint fingerprint,
                                   std::optional<wall_time> complete_since,
                                   clock_reading const & reading);

    /// @brief records the outcome of a key's request; a rejected request did
    ///        not run, so its key can be used again
    /// @return the outcome as stored, for the requests that wait for it
    /// @pre begin returned `started`, and finish was not called since then
    std::shared_ptr<outcome const> finish(idempotency_key const & key,
                                          outcome result,
                                          clock_reading const & reading);

    /// @brief whether the first request with the key is still running
    [[nodiscard]] bool is_in_flight(idempotency_key const & key) const;

    /// @brief copies the records to be handed over to another owner
    /// @param selects whether the record of a key is copied
    [[nodiscard]] std::vector<idempotency_record>
    export_records(std::function<bool(idempotency_key const &)> const & selects,
                   clock_reading const & reading);

    /// @brief adds the records of an earlier owner, even beyond the limit
    /// @note a request still in flight at the earlier owner is indeterminate
    ///       here until its answer is imported
    void import_records(std::vector<idempotency_record> const & records,
                        clock_reading const & reading);

    /// @brief changes the validity window of all keys
    /// @note a longer window does not restore records that have expired
    void set_window(duration window, clock_reading const & reading);

    /// @brief the number of stored keys
    [[nodiscard]] std::size_t size() const;

    /// @brief the size of the stored and reserved answers in bytes
    [[nodiscard]] std::size_t answer_bytes() const;

    /// @brief the limits in force
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

    struct expiry_entry
    {
        idempotency_key key;
        time_point recorded;
    };

    bool is_new(idempotency_key const & key,
                std::optional<wall_time> complete_since,
                clock_reading const & reading) const;
    void expire(time_point now);
    void finalize(idempotency_key const & key, entry & finalized);
    void import_record(idempotency_record const & source,
                       clock_reading const & reading);

    idempotency_limits limits;
    absl::flat_hash_map<idempotency_key, entry> entries;
    // keys that are not in flight, the earliest recorded at the front
    std::deque<expiry_entry> expiry_queue;
    std::size_t bytes = 0;
    // records of uses before this time may have expired under a shorter window
    wall_time retained_since = wall_time::min();
};

} // namespace endivehinge

#endif

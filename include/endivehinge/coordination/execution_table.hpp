#ifndef ENDIVEHINGE_COORDINATION_EXECUTION_TABLE_HPP
#define ENDIVEHINGE_COORDINATION_EXECUTION_TABLE_HPP

#include <cstddef> // size_t
#include <deque>   // deque
#include <memory>  // shared_ptr

#include <absl/container/flat_hash_map.h> // flat_hash_map

#include <endivehinge/coordination/dropped_request_set.hpp>
#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/ids.hpp>
#include <endivehinge/core/outcome.hpp>

namespace endivehinge
{

/// @brief the limits of an execution table
struct execution_limits
{
    std::size_t records = 65536;
    std::size_t answer_bytes = std::size_t{32} * 1024 * 1024;
    std::size_t max_tracked_senders = 16384;
    // time for which a record is kept after its request has ended
    duration retention = std::chrono::minutes(2);
};

/// @brief the state of a request at one admission controller
enum class execution_state
{
    started,       // new: run the request, then call finish
    running,       // an earlier start is still running
    finished,      // the request has ended; its outcome is available
    fenced,        // the request did not start and never will
    indeterminate, // it may have run: its record may have been dropped
    full,          // not started, record limit reached: reject it
};

/// @brief the state of a request and, if it has finished, its outcome
struct execution_report
{
    execution_state state = execution_state::indeterminate;
    // set if finished; an answer too large to store is replaced by an
    // indeterminate outcome that says so
    std::shared_ptr<outcome const> result;
};

/// @brief tracks the state of each request at one admission controller
///
/// An id starts at most once. Once a record is dropped, at the limit or on
/// expiry, its id counts as `indeterminate`, so that only a request that never
/// started is reported as such. At the limits, the oldest answers are dropped
/// first, then the records that ended first. Records of running requests are
/// never dropped.
/// @note a pure state machine; thread safety: none, the caller must hold a lock
class execution_table
{
public:
    /// @param own_incarnation the incarnation of this node; earlier
    ///        incarnations left no records
    /// @param limits must allow at least one record and one sender
    execution_table(incarnation own_incarnation,
                    execution_limits const & limits);

    /// @brief records the start of a request unless its id was used before
    /// @param id identifies one attempt; a retry needs its own id
    /// @return never `fenced` for an id that started here
    /// @note call it immediately before the dispatch; a request that is
    ///       rejected earlier needs no record
    [[nodiscard]] execution_report begin(request_id const & id, time_point now);

    /// @brief records the outcome of a request
    /// @pre begin returned `started` for the id, and finish was not called for
    ///      it
    void finish(request_id const & id, outcome result, time_point now);

    /// @brief returns the state of a request, and prevents an id that has not
    ///        started from starting later
    /// @param id the id of the request
    /// @param sent_to the incarnation of this node that the sender addressed;
    ///        if it is not the current one, the result is `indeterminate`
    /// @return `running`, `finished`, `fenced` or `indeterminate`
    [[nodiscard]] execution_report
    query_or_fence(request_id const & id, incarnation sent_to, time_point now);

    /// @brief the number of stored records
    [[nodiscard]] std::size_t size() const;

    /// @brief the size of the stored answers in bytes
    [[nodiscard]] std::size_t answer_bytes() const;

private:
    struct record
    {
        execution_state state = execution_state::running;
        std::shared_ptr<outcome const> result;
        std::size_t bytes = 0;
    };

    struct ended_request
    {
        request_id id;
        time_point end_time;
    };

    void expire(time_point now);
    bool ensure_capacity();
    void drop_oldest_ended();
    void drop_oldest_answers();

    incarnation own_incarnation;
    execution_limits limits;
    dropped_request_set dropped;
    absl::flat_hash_map<request_id, record> records;
    // ended requests, the first to end at the front
    std::deque<ended_request> ended;
    // the ended requests whose answer is still stored, in the same order
    std::deque<request_id> answered;
    std::size_t stored_bytes = 0;
};

} // namespace endivehinge

#endif

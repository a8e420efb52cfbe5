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

/// @brief bounds on what an execution table holds
struct execution_limits
{
    std::size_t records = 65536;
    std::size_t answer_bytes = std::size_t{32} * 1024 * 1024;
    std::size_t max_tracked_senders = 16384;
    // a record is kept so long after its request has ended
    duration retention = std::chrono::minutes(2);
};

/// @brief what became of a request at one admission controller
enum class execution_state
{
    started,       // it was new: run it, then call finish
    running,       // it runs, by an earlier start
    finished,      // it has ended; the outcome is there
    fenced,        // it did not run and never will
    indeterminate, // its record may have been dropped: it may have run
    full,          // no room for a record: refuse it, it did not start
};

/// @brief the state of a request and, where finished, its outcome
struct execution_report
{
    execution_state state = execution_state::indeterminate;
    // set where finished; an answer that was too large to keep is
    // an indeterminate outcome that says so
    std::shared_ptr<outcome const> result;
};

/// @brief what happened to each request at one admission controller
///
/// An id starts at most once. Where records are dropped, at the bound or
/// when they expire, their ids count as `indeterminate`, so that "never seen"
/// is said only of a request that never started. The bound drops the answers
/// that were finished first, then the records that ended first, never one
/// that runs.
/// @note a pure state machine; thread safety: none, hold a lock
class execution_table
{
public:
    /// @param own_run the run of this node; earlier runs left no records
    /// @param limits at least one record and one sender
    execution_table(incarnation own_run, execution_limits const & limits);

    /// @brief records the start of a request unless its id is known
    /// @param id of one try; a further try needs an id of its own
    /// @return never `fenced` for an id that started here
    /// @note call it right before the dispatch; a request that is refused
    ///       before then needs no record
    [[nodiscard]] execution_report begin(request_id const & id, time_point now);

    /// @brief records how a request ended
    /// @pre begin gave `started` for the id, and finish was not called for it
    void finish(request_id const & id, outcome result, time_point now);

    /// @brief says what became of a request, and keeps an unknown one from
    ///        ever starting
    /// @param id the request
    /// @param sent_to the run of this node that the request was sent to, as
    ///        the sender knew it; another than the own: `indeterminate`
    /// @return `running`, `finished`, `fenced` or `indeterminate`
    [[nodiscard]] execution_report
    query_or_fence(request_id const & id, incarnation sent_to, time_point now);

    /// @brief the records that are held
    [[nodiscard]] std::size_t size() const;

    /// @brief the bytes of the answers that are held
    [[nodiscard]] std::size_t answer_bytes() const;

private:
    struct record
    {
        execution_state state = execution_state::running;
        std::shared_ptr<outcome const> result;
        std::size_t bytes = 0;
    };

    struct ending
    {
        request_id id;
        time_point when;
    };

    void expire(time_point now);
    bool make_room();
    void drop_first_ended();
    void drop_answers();

    incarnation own_run;
    execution_limits limits;
    dropped_request_set forgotten;
    absl::flat_hash_map<request_id, record> records;
    // ended requests in the order in which they ended
    std::deque<ending> ended;
    // those of them whose answer is kept
    std::deque<request_id> answered;
    std::size_t kept_bytes = 0;
};

} // namespace endivehinge

#endif

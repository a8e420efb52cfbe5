#ifndef ENDIVEHINGE_DETAIL_NODE_EXECUTION_LOG_HPP
#define ENDIVEHINGE_DETAIL_NODE_EXECUTION_LOG_HPP

#include <absl/synchronization/mutex.h> // Mutex

#include <endivehinge/coordination/execution_table.hpp>

namespace endivehinge::detail
{

/// @brief a node's execution table, synchronized for use by several threads
/// @note thread safety: any thread
class execution_log
{
public:
    /// @param own_incarnation the incarnation of this node
    /// @param time outlives the log
    execution_log(incarnation own_incarnation, clock const & time);

    /// @brief records the start of an attempt; see execution_table::begin
    [[nodiscard]] execution_report begin(request_id const & try_id);

    /// @brief records the outcome of a started attempt
    void finish(request_id const & try_id, outcome const & result);

    /// @brief returns the state of an attempt; fences an unknown attempt, which
    ///        can then never start
    /// @param addressed_incarnation the node incarnation that it was sent to
    /// @param wait_limit how long to wait while the attempt runs
    [[nodiscard]] execution_report query(request_id const & try_id,
                                         incarnation addressed_incarnation,
                                         duration wait_limit);

private:
    absl::Mutex mutex;
    execution_table table;
    clock const & time;
};

} // namespace endivehinge::detail

#endif

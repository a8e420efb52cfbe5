#ifndef ENDIVEHINGE_DETAIL_NODE_EXECUTION_LOG_HPP
#define ENDIVEHINGE_DETAIL_NODE_EXECUTION_LOG_HPP

#include <absl/synchronization/mutex.h> // Mutex

#include <endivehinge/coordination/execution_table.hpp>

namespace endivehinge::detail
{

/// @brief the execution table of a node, shared among threads
/// @note thread safety: any thread
class execution_log
{
public:
    /// @param own_run the run of this node
    /// @param time outlives the log
    execution_log(incarnation own_run, clock const & time);

    /// @brief records the start of a try; see execution_table::begin
    [[nodiscard]] execution_report begin(request_id const & try_id);

    /// @brief records how a started try ended
    void finish(request_id const & try_id, outcome const & result);

    /// @brief what became of a try; an unknown one never starts from now on
    /// @param patience how long to wait while it runs
    [[nodiscard]] execution_report query(request_id const & try_id,
                                         incarnation addressed_incarnation,
                                         duration patience);

private:
    absl::Mutex mutex;
    execution_table table;
    clock const & time;
};

} // namespace endivehinge::detail

#endif

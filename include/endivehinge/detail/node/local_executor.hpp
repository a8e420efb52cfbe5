#ifndef ENDIVEHINGE_DETAIL_NODE_LOCAL_EXECUTOR_HPP
#define ENDIVEHINGE_DETAIL_NODE_LOCAL_EXECUTOR_HPP

#include <absl/synchronization/mutex.h> // Mutex

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/ids.hpp>
#include <endivehinge/core/outcome.hpp>
#include <endivehinge/core/request.hpp>
#include <endivehinge/detail/http/http_client.hpp>
#include <endivehinge/detail/node/shared_quarantine.hpp>
#include <endivehinge/detail/node/target_admission.hpp>
#include <endivehinge/detail/node/target_client.hpp>
#include <endivehinge/detail/node/target_status.hpp>

namespace endivehinge::detail
{

/// @brief executes all requests that this node sends to the local target
class local_executor
{
public:
    /// @param own_name name of this node, used in crash IDs
    /// @param client sends the requests to the target; outlives the executor
    /// @param quarantine outlives the executor
    /// @param time outlives the executor
    local_executor(node_name own_name,
                   http_client & client,
                   shared_quarantine & quarantine,
                   clock const & time);

    /// @brief applies an announcement of the target
    /// @note thread safety: any thread
    void update(target_status const & status);

    /// @brief drains the target or ends its drain; after a drain it is treated
    ///        as a target that has just started
    /// @note thread safety: any thread
    void set_drained(bool drained);

    /// @brief limits hedged requests and connection checks; see
    ///        target_client::set_extra_request_limits
    /// @note thread safety: any thread
    void set_extra_request_limits(double hedge_share, double checks_per_second);

    /// @brief the last announcement of the target
    /// @note thread safety: any thread
    [[nodiscard]] target_status status() const;

    /// @brief refuses all further requests; queued and running ones continue
    /// @note thread safety: any thread
    void stop_admitting();

    /// @brief the load of the target to report to other nodes
    /// @note thread safety: any thread
    [[nodiscard]] load_signal load() const;

    /// @brief admits a request and runs it on the target
    /// @param caller_socket socket whose closure cancels the request; -1: none
    /// @note thread safety: any thread; blocks until the outcome
    [[nodiscard]] outcome execute(request const & offered, int caller_socket);

private:
    void announce_to_admission();
    outcome admit_and_run(request const & offered,
                          request_fingerprint fingerprint,
                          bool isolated,
                          int caller_socket);
    bool has_crashed(target_status const & status_before);
    void report_crash(request_fingerprint fingerprint,
                      target_status const & status_before,
                      bool isolated);

    node_name own_name;
    shared_quarantine & quarantine;
    target_client requests_to_target;
    target_admission admission;
    mutable absl::Mutex mutex;
    target_status target;
    bool drained = false;
    std::uint64_t drain_end_count = 0;
};

} // namespace endivehinge::detail

#endif

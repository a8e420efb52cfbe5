#ifndef ENDIVEHINGE_DETAIL_NODE_TARGET_CLIENT_HPP
#define ENDIVEHINGE_DETAIL_NODE_TARGET_CLIENT_HPP

#include <optional> // optional

#include <absl/synchronization/mutex.h> // Mutex

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/endpoint.hpp>
#include <endivehinge/core/outcome.hpp>
#include <endivehinge/core/request.hpp>
#include <endivehinge/detail/http/http_client.hpp>
#include <endivehinge/policy/retry_budget.hpp>

namespace endivehinge::detail
{

/// @brief sends admitted requests to the local target
///
/// A connection that was idle for long may be broken without notice. Requests
/// that are not idempotent are therefore never sent on one. An idempotent
/// request is hedged: if no response arrives, it is sent a second time on a new
/// connection.
class target_client
{
public:
    /// @param client outlives the target client
    /// @param time outlives the target client
    target_client(http_client & client, clock const & time);

    /// @brief sends a request to the target and waits for its outcome
    /// @param address address of the target
    /// @param typical_latency current service time of the target
    /// @param caller_socket socket whose closure cancels the request; -1: none
    /// @note thread safety: any thread; blocks until the outcome
    [[nodiscard]] outcome execute(endpoint const & address,
                                  request const & admitted,
                                  duration typical_latency,
                                  int caller_socket);

    /// @brief whether the target's address refuses new connections
    /// @note concurrent callers share one check; checks are limited to the
    ///       rate given to set_extra_request_limits
    /// @note thread safety: any thread; blocks on I/O
    [[nodiscard]] bool is_unreachable(endpoint const & address);

    /// @brief limits hedged requests and connection checks
    /// @param hedge_share hedged requests per request, 0 to 1
    /// @param checks_per_second connection checks of the target; above 0
    /// @note thread safety: any thread
    void set_extra_request_limits(double hedge_share, double checks_per_second);

private:
    bool check_unreachable(endpoint const & address);
    http_call begin_call(endpoint const & address,
                         request const & admitted,
                         bool fresh_connection,
                         int caller_socket);
    outcome read_outcome(http_call & completed_call, endpoint const & address);
    outcome await_either(http_call original_call,
                         http_call hedged_call,
                         endpoint const & address);
    bool may_hedge();

    http_client & client;
    clock const & time;
    absl::Mutex mutex;
    retry_budget hedge_budget;
    double hedge_share;
    duration check_interval;

    // held during a connection check so that only one runs at a time
    absl::Mutex check_mutex;
    std::optional<time_point> last_check_time;
    bool last_check_unreachable = false;
};

} // namespace endivehinge::detail

#endif

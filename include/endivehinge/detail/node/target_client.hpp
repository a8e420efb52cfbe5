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

/// @brief carries an admitted request to the target beside this node
///
/// A connection that was idle for long may have gone silent: a request that
/// may not be repeated is never sent on one, and one that may is sent once
/// more on a new connection when the first stays without an answer.
class target_client
{
public:
    /// @param client outlives the target client
    /// @param time outlives the target client
    target_client(http_client & client, clock const & time);

    /// @brief runs a request on the target
    /// @param address the target's
    /// @param usual_latency of the target now
    /// @param caller_socket watched for hang-up; -1: none
    /// @note thread safety: any thread; blocks until the outcome
    [[nodiscard]] outcome run(endpoint const & address,
                              request const & admitted,
                              duration usual_latency,
                              int caller_socket);

    /// @brief whether nobody takes new connections at the target's address
    /// @note threads that ask at the same time share one check; checks keep
    ///       to the rate of set_extra_request_limits
    /// @note thread safety: any thread; blocks on I/O
    [[nodiscard]] bool is_gone(endpoint const & address);

    /// @brief what the operators allow
    /// @param second_send_share second sends as a share of requests, 0 to 1
    /// @param checks_per_second of a target that may be gone; above 0
    /// @note thread safety: any thread
    void set_extra_request_limits(double second_send_share,
                                  double checks_per_second);

private:
    bool check_is_gone(endpoint const & address);
    http_call begin(endpoint const & address,
                    request const & admitted,
                    bool fresh_connection,
                    int caller_socket);
    outcome read(http_call & ended, endpoint const & address);
    outcome race(http_call first, http_call second, endpoint const & address);
    bool may_send_again();

    http_client & client;
    clock const & time;
    absl::Mutex mutex;
    retry_budget second_sends;
    double second_send_share;
    duration check_interval;

    // held during a check, so that there is one at a time
    absl::Mutex check_mutex;
    std::optional<time_point> checked;
    bool found_gone = false;
};

} // namespace endivehinge::detail

#endif

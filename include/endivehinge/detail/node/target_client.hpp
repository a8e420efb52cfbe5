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
    /// @note thread safety: any thread; blocks on I/O
    [[nodiscard]] bool is_gone(endpoint const & address);

private:
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
};

} // namespace endivehinge::detail

#endif

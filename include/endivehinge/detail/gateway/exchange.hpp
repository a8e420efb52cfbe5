#ifndef ENDIVEHINGE_DETAIL_GATEWAY_EXCHANGE_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_EXCHANGE_HPP

#include <cstddef>    // size_t
#include <functional> // function
#include <memory>     // weak_ptr
#include <optional>   // optional

#include <endivehinge/core/clock.hpp>
#include <endivehinge/detail/gateway/http_types.hpp>

namespace endivehinge::detail
{

class server_connection;

/// @brief request received on a server connection, and its response
/// @note thread safety: none; used on the event loop only
class exchange
{
public:
    exchange(std::weak_ptr<server_connection> owner,
             request_message message,
             time_point arrival_time);

    /// @brief sends the final response
    /// @note calls after the first one or after cancel() are ignored
    void respond(response_message message);

    /// @brief sets the action to run if the client disconnects before the
    /// response
    void on_cancel(std::function<void()> action);

    /// @brief sets the action to run from time to time while the process stops,
    /// in which the request may be answered early
    void on_stop_review(std::function<void()> action);

    /// @brief runs the action set with on_stop_review(), unless the request is
    /// finished
    void review_stop();

    /// @brief sets the action to run if the connection ends before the response
    /// was sent
    void on_response_lost(std::function<void()> action);

    /// @brief marks the request as cancelled, since the client has
    /// disconnected, and runs the action set with on_cancel(); if it has a
    /// response, runs the action set with on_response_lost() instead
    void cancel();

    /// @brief whether a response was set or the request was cancelled
    [[nodiscard]] bool is_finished() const;

    request_message request;
    time_point const arrival;

private:
    friend class server_connection;

    std::weak_ptr<server_connection> connection;
    // memory of the request as it was received
    std::size_t request_head_bytes = 0;
    std::size_t request_body_bytes = 0;
    std::function<void()> cancel_action;
    std::function<void()> stop_review_action;
    std::function<void()> response_lost_action;
    std::optional<response_message> response;
    bool keep_alive = true;
    bool cancelled = false;
};

} // namespace endivehinge::detail

#endif

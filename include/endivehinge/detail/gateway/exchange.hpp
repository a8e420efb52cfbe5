#ifndef ENDIVEHINGE_DETAIL_GATEWAY_EXCHANGE_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_EXCHANGE_HPP

#include <functional> // function
#include <memory>     // weak_ptr
#include <optional>   // optional

#include <endivehinge/core/clock.hpp>
#include <endivehinge/detail/gateway/http_types.hpp>

namespace endivehinge::detail
{

class server_connection;

/// @brief one request on a server connection and the place for its response
/// @note thread safety: none; used on the event loop only
class exchange
{
public:
    exchange(std::weak_ptr<server_connection> owner,
             request_message received,
             time_point arrived);

    /// @brief hands the final response to the connection
    /// @pre not called before; a call after cancel() is ignored
    void respond(response_message answer);

    /// @brief sets what to do when the client leaves before the response
    void on_cancel(std::function<void()> action);

    /// @brief the client has closed its connection
    void cancel();

    /// @brief whether a response was given or the client has left
    [[nodiscard]] bool is_finished() const;

    request_message request;
    time_point const arrival;

private:
    friend class server_connection;

    std::weak_ptr<server_connection> connection;
    std::function<void()> cancel_action;
    std::optional<response_message> response;
    bool keep_alive = true;
    bool cancelled = false;
};

} // namespace endivehinge::detail

#endif

#ifndef ENDIVEHINGE_DETAIL_GATEWAY_HTTP_LISTENER_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_HTTP_LISTENER_HPP

#include <memory>   // shared_ptr
#include <optional> // optional
#include <vector>   // vector

#include <boost/asio/io_context.hpp>   // io_context
#include <boost/asio/ip/tcp.hpp>       // tcp
#include <boost/asio/steady_timer.hpp> // steady_timer

#include <endivehinge/core/endpoint.hpp>
#include <endivehinge/core/failure.hpp>
#include <endivehinge/detail/gateway/server_connection.hpp>

namespace endivehinge::detail
{

/// @brief accepts the connections of one address
/// @note thread safety: none; used on the event loop only
class http_listener
{
public:
    http_listener(boost::asio::io_context & loop, request_handler & receiver);

    /// @brief binds and begins to accept
    /// @param reason invalid_settings or connect_failed, with the address
    /// @return whether the address is bound
    [[nodiscard]] bool open(endpoint const & address, failure & reason);

    /// @brief replaces the bounds, for open connections too
    void set_limits(server_limits const & limits);

    /// @brief from now on each response closes its connection, and idle
    /// connections are closed
    void drain();

    /// @brief stops accepting
    void close();

    /// @brief requests without a response on all connections
    [[nodiscard]] std::size_t pending_count() const;

    /// @brief the port that was bound; for listeners opened on port 0
    [[nodiscard]] std::uint16_t port() const;

private:
    void accept();
    void sweep();

    boost::asio::io_context & io;
    request_handler & handler;
    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::steady_timer timer;
    server_limits bounds;
    bool draining = false;
    std::vector<std::weak_ptr<server_connection>> connections;
};

} // namespace endivehinge::detail

#endif

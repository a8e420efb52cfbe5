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

/// @brief accepts HTTP connections on one address and passes their requests to
/// a handler
/// @note thread safety: none; used on the event loop only
class http_listener
{
public:
    http_listener(boost::asio::io_context & loop,
                  request_handler & incoming_handler);

    /// @brief a listener whose connections are bounded together with others
    /// @param shared_registry must outlive the listener and its connections
    http_listener(boost::asio::io_context & loop,
                  request_handler & incoming_handler,
                  connection_registry & shared_registry,
                  listener_kind own_kind);

    /// @brief binds the address and starts accepting connections
    /// @param reason set to connect_failed with the address on error
    /// @return whether the address was bound
    [[nodiscard]] bool open(endpoint const & address, failure & reason);

    /// @brief replaces the limits, also for open connections
    void set_limits(server_limits const & limits);

    /// @brief ends connections that have been idle for a while, and each other
    /// connection after its next response
    void drain();

    /// @brief stops accepting connections, ends all idle ones, and each other
    /// connection after its next response; responses are delivered first
    void finish();

    /// @brief lets requests in progress be answered early while the process
    /// stops
    void review_stop();

    /// @brief refuses the requests that are still being received
    void refuse_partial_requests();

    /// @brief stops accepting connections; open connections remain
    void close();

    /// @brief stops accepting connections and closes the open ones; their
    /// requests get no response
    void abort();

    /// @brief number of requests on all connections whose response has not been
    /// sent
    [[nodiscard]] std::size_t pending_count() const;

    /// @brief number of connections that are open and have not been ended with
    /// all that was sent delivered
    [[nodiscard]] std::size_t unfinished_count() const;

    /// @brief the bound port, which the system selects for port 0
    [[nodiscard]] std::uint16_t port() const;

private:
    void accept();
    void add_connection(boost::asio::ip::tcp::socket socket);
    /// @brief calls a function with each connection; it may close connections
    template <typename Function>
    void for_each_connection(Function call) const;
    void check_connections();

    boost::asio::io_context & io;
    request_handler & handler;
    // null if its connections have limits of their own only
    connection_registry * registry = nullptr;
    listener_kind kind = listener_kind::clients;
    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::steady_timer check_timer;
    server_limits connection_limits;
    bool draining = false;
    // keeps connections that wait neither for bytes nor for a response to be
    // sent
    std::vector<std::shared_ptr<server_connection>> connections;
};

} // namespace endivehinge::detail

#endif

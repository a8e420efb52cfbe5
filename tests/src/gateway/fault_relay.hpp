#ifndef ENDIVEHINGE_TESTS_GATEWAY_FAULT_RELAY_HPP
#define ENDIVEHINGE_TESTS_GATEWAY_FAULT_RELAY_HPP

#include <functional> // function
#include <memory>     // enable_shared_from_this, shared_ptr, weak_ptr
#include <string>     // string
#include <vector>     // vector

#include <boost/asio/io_context.hpp> // io_context
#include <boost/asio/ip/tcp.hpp>     // tcp

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/endpoint.hpp>

namespace endivehinge::tests
{

/// @brief faults that a relay applies to the bytes it forwards
struct relay_faults
{
    // delay before each chunk of bytes is forwarded
    duration delay_to_server{0};
    duration delay_to_client{0};
    // discard bytes sent in this direction; the connection stays open
    bool drop_to_server = false;
    bool drop_to_client = false;
    // resets each new connection at once, as a cut that refuses does once the
    // connection is accepted
    bool reset_new_connections = false;
    // replaces the bytes of the server; not used if empty
    std::function<std::string(std::string)> rewrite_to_client;
};

/// @brief a TCP relay in front of a server that injects network faults
/// @note thread safety: none; use on a single event loop
class fault_relay
{
public:
    /// @param listen_address port 0 selects a free port
    fault_relay(boost::asio::io_context & loop,
                endpoint const & listen_address,
                endpoint const & server_address);

    /// @brief the address on which the relay listens
    [[nodiscard]] endpoint address() const;

    /// @brief replaces the faults, also for open connections
    void set_faults(relay_faults const & new_faults);

    /// @brief closes all open connections with a TCP reset
    void reset_connections();

private:
    class connection;

    void accept();

    boost::asio::io_context & io;
    boost::asio::ip::tcp::endpoint server;
    boost::asio::ip::tcp::acceptor acceptor;
    std::shared_ptr<relay_faults> faults;
    std::vector<std::weak_ptr<connection>> connections;
};

} // namespace endivehinge::tests

#endif

#ifndef ENDIVEHINGE_TESTS_GATEWAY_FAULT_RELAY_HPP
#define ENDIVEHINGE_TESTS_GATEWAY_FAULT_RELAY_HPP

#include <memory> // enable_shared_from_this, shared_ptr, weak_ptr
#include <vector> // vector

#include <boost/asio/io_context.hpp> // io_context
#include <boost/asio/ip/tcp.hpp>     // tcp

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/endpoint.hpp>

namespace endivehinge::tests
{

/// @brief what a relay does to bytes
struct relay_faults
{
    // added to each chunk, on the way to the server and back
    duration delay_to_server{0};
    duration delay_to_client{0};
    // bytes of that way are swallowed; the connection stays open
    bool drop_to_server = false;
    bool drop_to_client = false;
};

/// @brief a TCP relay in front of a server, with faults of the link
/// @note thread safety: none; used on one event loop
class fault_relay
{
public:
    /// @param from the address to listen on; port 0 takes any
    fault_relay(boost::asio::io_context & loop,
                endpoint const & from,
                endpoint const & to);

    /// @brief where it listens
    [[nodiscard]] endpoint address() const;

    /// @brief from now on, for open connections too
    void set_faults(relay_faults const & chosen);

    /// @brief ends all open connections with a reset
    void reset_connections();

private:
    class link;

    void accept();

    boost::asio::io_context & io;
    boost::asio::ip::tcp::endpoint server;
    boost::asio::ip::tcp::acceptor acceptor;
    std::shared_ptr<relay_faults> faults;
    std::vector<std::weak_ptr<link>> links;
};

} // namespace endivehinge::tests

#endif

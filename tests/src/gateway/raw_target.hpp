#ifndef ENDIVEHINGE_TESTS_GATEWAY_RAW_TARGET_HPP
#define ENDIVEHINGE_TESTS_GATEWAY_RAW_TARGET_HPP

#include <cstddef> // size_t
#include <memory>  // shared_ptr
#include <string>  // string

#include <boost/asio/io_context.hpp> // io_context
#include <boost/asio/ip/tcp.hpp>     // tcp

#include <endivehinge/core/endpoint.hpp>

namespace endivehinge::tests
{

/// @brief what a raw_target does after the bytes of its response
enum class response_end
{
    keep_open,
    close, // in order, once the request was read to its end
    reset, // without reading the rest of the request
};

/// @brief a faulty target that answers each request with given bytes
/// @note thread safety: none; use on a single event loop
class raw_target
{
public:
    raw_target(boost::asio::io_context & loop,
               endpoint const & address,
               std::string instance);

    // sent in response to each request that is no health probe; `{id}` stands
    // for its ID
    std::string response;
    response_end end = response_end::keep_open;
    // connections on which such a request came
    std::size_t used_connections = 0;

private:
    struct connection;
    using connection_pointer = std::shared_ptr<connection>;

    void accept();
    void read(connection_pointer const & client);
    void handle_bytes(connection_pointer const & client);
    void respond(connection_pointer const & client, std::string const & head);
    void discard(connection_pointer const & client);

    boost::asio::ip::tcp::acceptor acceptor;
    std::string id;
};

} // namespace endivehinge::tests

#endif

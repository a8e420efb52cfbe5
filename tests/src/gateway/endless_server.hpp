#ifndef ENDIVEHINGE_TESTS_GATEWAY_ENDLESS_SERVER_HPP
#define ENDIVEHINGE_TESTS_GATEWAY_ENDLESS_SERVER_HPP

#include <array>   // array
#include <cstddef> // size_t
#include <memory>  // shared_ptr
#include <string>  // string

#include <boost/asio/io_context.hpp> // io_context
#include <boost/asio/ip/tcp.hpp>     // tcp

#include <endivehinge/core/endpoint.hpp>

namespace endivehinge::tests
{

/// @brief a server that sends bytes without end on each connection, once it
/// has received any, until the client closes
/// @note thread safety: none; use on a single event loop
class endless_server
{
public:
    /// @param beginning sent once at the start of each connection
    /// @param repeated sent again and again afterwards
    endless_server(boost::asio::io_context & loop,
                   endpoint const & address,
                   std::string beginning,
                   std::string repeated);

    /// @brief connections that the client has not closed yet
    [[nodiscard]] std::size_t open_connections() const;

private:
    struct connection
    {
        explicit connection(boost::asio::ip::tcp::socket accepted)
            : socket(std::move(accepted))
        {
        }

        boost::asio::ip::tcp::socket socket;
        std::array<char, 4096> received{};
    };

    void accept();
    void send(std::shared_ptr<connection> const & client,
              std::string const & text);

    boost::asio::ip::tcp::acceptor acceptor;
    std::string first_text;
    std::string repeated_text;
    std::size_t open = 0;
};

} // namespace endivehinge::tests

#endif

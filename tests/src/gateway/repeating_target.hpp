#ifndef ENDIVEHINGE_TESTS_GATEWAY_REPEATING_TARGET_HPP
#define ENDIVEHINGE_TESTS_GATEWAY_REPEATING_TARGET_HPP

#include <cstddef> // size_t
#include <memory>  // shared_ptr
#include <string>  // string
#include <vector>  // vector

#include <boost/asio/io_context.hpp>        // io_context
#include <boost/asio/ip/tcp.hpp>            // tcp
#include <boost/asio/steady_timer.hpp>      // steady_timer
#include <boost/beast/core/flat_buffer.hpp> // flat_buffer

#include <endivehinge/core/endpoint.hpp>
#include <endivehinge/detail/gateway/http_types.hpp>

namespace endivehinge::tests
{

/// @brief how a repeating_target responds
struct repetition
{
    char const * name = "";
    // every such response is sent again before the next one on its connection
    std::size_t repeated_every = 1;
    // every such request is refused; 0: none
    std::size_t refused_every = 0;
    // whether a refusal has the ID of its request
    bool identifies_refusals = true;
    // whether every second health probe gets 503
    bool unhealthy_half_the_time = false;
    // whether bodies are sent in chunks
    bool chunked = false;
};

/// @brief a faulty target that sends responses twice, the second time late:
/// where the response to the next request is expected
/// @note thread safety: none; use on a single event loop
class repeating_target
{
public:
    repeating_target(boost::asio::io_context & loop,
                     endpoint const & address,
                     std::string instance,
                     repetition behaviour);

    /// @brief how often the request with an ID was executed
    [[nodiscard]] std::size_t
    execution_count(std::string const & request) const;

    // copies sent late
    std::size_t repeated_count = 0;
    // IDs of the executed requests, in order
    std::vector<std::string> executed_ids;

private:
    struct connection
    {
        explicit connection(boost::asio::ip::tcp::socket accepted)
            : socket(std::move(accepted))
            , timer(socket.get_executor())
        {
        }

        boost::asio::ip::tcp::socket socket;
        boost::asio::steady_timer timer;
        boost::beast::flat_buffer buffer;
        detail::request_message request;
        // sent again before the next response
        std::string late;
    };

    using connection_pointer = std::shared_ptr<connection>;

    void accept();
    void read(connection_pointer const & client);
    void respond(connection_pointer const & client);
    [[nodiscard]] std::string respond_to_probe();
    [[nodiscard]] std::string respond_to_request(connection & client);
    [[nodiscard]] std::string write_success(std::string const & id) const;

    boost::asio::ip::tcp::acceptor acceptor;
    std::string id;
    repetition options;
    std::size_t request_count = 0;
    std::size_t probe_count = 0;
};

} // namespace endivehinge::tests

#endif

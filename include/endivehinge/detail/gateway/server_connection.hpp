#ifndef ENDIVEHINGE_DETAIL_GATEWAY_SERVER_CONNECTION_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_SERVER_CONNECTION_HPP

#include <deque>    // deque
#include <memory>   // shared_ptr, enable_shared_from_this
#include <optional> // optional

#include <boost/asio/ip/tcp.hpp>            // tcp
#include <boost/beast/core/flat_buffer.hpp> // flat_buffer
#include <boost/beast/http/parser.hpp>      // request_parser

#include <endivehinge/detail/gateway/exchange.hpp>
#include <endivehinge/detail/gateway/request_handler.hpp>
#include <endivehinge/detail/gateway/server_limits.hpp>

namespace endivehinge::detail
{

/// @brief one connection of a client: pipelined requests in, responses out
///
/// Reads while requests run, so a client that closes is noticed at once.
/// Responses leave in the order of the requests.
/// @note thread safety: none; used on the event loop only
class server_connection : public std::enable_shared_from_this<server_connection>
{
public:
    server_connection(boost::asio::ip::tcp::socket accepted,
                      request_handler & receiver,
                      server_limits const & limits,
                      bool const & closing);

    /// @brief begins to read
    /// @pre called once
    void start();

    /// @brief closes at once; requests in progress are cancelled
    void close();

    /// @brief applies the idle and header timeouts
    void check_timeouts(time_point now);

    /// @brief whether the socket is open
    [[nodiscard]] bool is_open() const;

    /// @brief requests that have no response yet
    [[nodiscard]] std::size_t pending_count() const;

    /// @brief whether nothing of a request has been received
    [[nodiscard]] bool is_idle() const;

private:
    friend class exchange;

    using request_parser =
        boost::beast::http::request_parser<boost::beast::http::string_body>;

    void read();
    void received(boost::system::error_code error, std::size_t size);
    void parse();
    void start_parser();
    void accept_request();
    void answer_continue();
    void reject(boost::system::error_code error);
    void write();
    void written(boost::system::error_code error);
    void finish_sending();

    boost::asio::ip::tcp::socket socket;
    request_handler & handler;
    server_limits const & bounds;
    // set while the process stops: responses close their connection
    bool const & stopping;
    boost::beast::flat_buffer buffer;
    std::optional<request_parser> parser;
    bool parsing = false;
    bool reading = false;
    bool accepting = true;
    bool writing = false;
    bool continued = false;
    bool lingering = false;
    std::deque<std::shared_ptr<exchange>> pending;
    time_point last_activity;
    time_point request_began;
};

} // namespace endivehinge::detail

#endif

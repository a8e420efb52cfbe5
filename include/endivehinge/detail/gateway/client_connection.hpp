#ifndef ENDIVEHINGE_DETAIL_GATEWAY_CLIENT_CONNECTION_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_CLIENT_CONNECTION_HPP

#include <functional> // function
#include <memory>     // enable_shared_from_this
#include <optional>   // optional

#include <boost/asio/io_context.hpp>        // io_context
#include <boost/asio/ip/tcp.hpp>            // tcp
#include <boost/asio/steady_timer.hpp>      // steady_timer
#include <boost/beast/core/flat_buffer.hpp> // flat_buffer
#include <boost/beast/http/parser.hpp>      // response_parser

#include <endivehinge/detail/gateway/call_options.hpp>
#include <endivehinge/detail/gateway/call_result.hpp>
#include <endivehinge/detail/gateway/upstream_options.hpp>

namespace endivehinge::detail
{

/// @brief one connection to a server; carries one request at a time
///
/// Reads at all times, so bytes that nobody asked for and a close by the
/// server are seen while the connection is idle.
/// @note thread safety: none; used on the event loop only
class client_connection : public std::enable_shared_from_this<client_connection>
{
public:
    using result_handler = std::function<void(call_result)>;

    client_connection(boost::asio::io_context & loop,
                      boost::asio::ip::tcp::endpoint remote,
                      upstream_options const & chosen);

    /// @brief sends a request; connects first where needed
    /// @pre is_idle()
    /// @param done called once, unless cancel() comes first
    void send(request_message message,
              call_options const & options,
              result_handler done);

    /// @brief gives up the call in progress and closes; done is not called
    void cancel();

    /// @brief whether a request may be sent now
    [[nodiscard]] bool is_idle() const;

    /// @brief whether it can carry no further request
    [[nodiscard]] bool is_closed() const;

    /// @brief whether it has been idle for longer than the server allows
    [[nodiscard]] bool is_expired(time_point now) const;

private:
    using response_parser =
        boost::beast::http::response_parser<boost::beast::http::string_body>;

    void connect();
    void connected(boost::system::error_code error);
    void configure_socket();
    void write();
    void read();
    void received(boost::system::error_code error, std::size_t size);
    void parse();
    void start_parser();
    void accept_response();
    [[nodiscard]] bool belongs_to_call(response_message const & message) const;
    void note_keep_alive(response_message const & message);
    void arm_timer(time_point at);
    void expired();
    void fail(call_status status, std::string detail);
    void finish(call_result result);
    void close();

    boost::asio::ip::tcp::endpoint peer;
    upstream_options bounds;
    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer timer;
    boost::beast::flat_buffer buffer;
    std::optional<response_parser> parser;
    request_message request;
    call_options limits;
    result_handler handler;
    bool in_use = false;
    bool established = false;
    bool closed = false;
    bool reading = false;
    bool sent_some = false;
    bool sent_all = false;
    bool received_some = false;
    duration idle_limit;
    time_point idle_since;
};

} // namespace endivehinge::detail

#endif

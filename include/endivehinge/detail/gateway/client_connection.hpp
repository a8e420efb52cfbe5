#ifndef ENDIVEHINGE_DETAIL_GATEWAY_CLIENT_CONNECTION_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_CLIENT_CONNECTION_HPP

#include <functional> // function
#include <memory>     // enable_shared_from_this
#include <optional>   // optional

#include <boost/asio/io_context.hpp>        // io_context
#include <boost/asio/ip/tcp.hpp>            // tcp
#include <boost/asio/steady_timer.hpp>      // steady_timer
#include <boost/beast/core/flat_buffer.hpp> // flat_buffer

#include <endivehinge/detail/gateway/call_options.hpp>
#include <endivehinge/detail/gateway/call_result.hpp>
#include <endivehinge/detail/gateway/message_parser.hpp>
#include <endivehinge/detail/gateway/response_matcher.hpp>
#include <endivehinge/detail/gateway/upstream_options.hpp>

namespace endivehinge::detail
{

/// @brief HTTP client connection that carries one request at a time
///
/// Reads while idle too, in order to detect unsolicited bytes and a close by
/// the server.
/// @note thread safety: none; used on the event loop only
class client_connection : public std::enable_shared_from_this<client_connection>
{
public:
    using result_handler = std::function<void(call_result)>;

    /// @pre the counter of the options, if any, has counted this connection
    client_connection(boost::asio::io_context & loop,
                      boost::asio::ip::tcp::endpoint remote,
                      upstream_options const & options);

    /// @brief sends a request and connects first if necessary
    /// @pre is_idle()
    /// @param done called once, unless cancel() is called before
    void send(request_message message,
              call_options const & options,
              result_handler done);

    /// @brief aborts the call in progress without calling its handler, and
    /// closes the connection
    void cancel();

    /// @brief completes the call in progress, and carries no further one
    void close_after_response();

    /// @brief whether the connection is open and has no call in progress
    [[nodiscard]] bool is_idle() const;

    /// @brief whether the connection is closed and must not be used again
    [[nodiscard]] bool is_closed() const;

    /// @brief whether a response to this request can be told from all that the
    /// server may still send
    [[nodiscard]] bool can_identify(call_options const & options,
                                    time_point now) const;

    /// @brief whether the idle timeout has passed, after which the server may
    /// close the connection
    [[nodiscard]] bool is_expired(time_point now) const;

private:
    void connect();
    void handle_connect(boost::system::error_code error);
    void configure_socket();
    void write();
    void read();
    void handle_readable(boost::system::error_code error);
    void handle_read(boost::system::error_code error, std::size_t size);
    void handle_bytes(std::size_t size);
    void parse();
    void start_parser();
    /// @brief accounts for the memory of the response in progress
    /// @return false if the response was given up for it
    [[nodiscard]] bool record_memory();
    void release_memory();
    void handle_response();
    void update_idle_timeout(response_message const & message);
    void arm_timer(time_point expiry);
    void handle_timeout();
    /// @brief moves the deadline of a call with a progress limit
    /// @return whether the deadline is later than before
    [[nodiscard]] bool extend_deadline();
    [[nodiscard]] bool has_unread_bytes();
    /// @brief whether the server has ended the connection in order; a reset may
    /// have cut off a response without a length
    [[nodiscard]] bool is_ended_in_order();
    void fail(call_status status, std::string detail);
    void finish(call_result result);
    void close();
    /// @brief gives the place of this connection among all free
    void leave_counter();
    /// @brief frees the memory of the request, unless it is still being written
    void release_request();

    boost::asio::ip::tcp::endpoint server_endpoint;
    upstream_options connection_options;
    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer timer;
    boost::beast::flat_buffer buffer;
    std::optional<message_parser<false>> parser;
    request_message request;
    call_options request_options;
    result_handler completion_handler;
    bool request_active = false;
    bool established = false;
    bool closed = false;
    bool read_pending = false;
    bool send_started = false;
    bool send_completed = false;
    bool send_failed = false;
    bool write_pending = false;
    bool is_counted = false;
    bool response_started = false;
    time_point request_sent;
    time_point response_start;
    bool connection_refused = false;
    bool is_last_call = false;
    // received during the request in progress, before its own response
    std::size_t dropped_responses = 0;
    std::optional<response_id> memory_id;

    response_matcher matcher;
    duration idle_timeout;
    time_point idle_since;
};

} // namespace endivehinge::detail

#endif

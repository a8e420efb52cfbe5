#ifndef ENDIVEHINGE_DETAIL_GATEWAY_SERVER_CONNECTION_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_SERVER_CONNECTION_HPP

#include <cstddef>  // size_t
#include <cstdint>  // uint64_t
#include <deque>    // deque
#include <memory>   // shared_ptr, enable_shared_from_this
#include <optional> // optional

#include <boost/asio/ip/tcp.hpp>            // tcp
#include <boost/asio/steady_timer.hpp>      // steady_timer
#include <boost/beast/core/flat_buffer.hpp> // flat_buffer
#include <boost/beast/http/serializer.hpp>  // response_serializer

#include <endivehinge/detail/gateway/budgeted_connection.hpp>
#include <endivehinge/detail/gateway/connection_registry.hpp>
#include <endivehinge/detail/gateway/exchange.hpp>
#include <endivehinge/detail/gateway/message_parser.hpp>
#include <endivehinge/detail/gateway/request_handler.hpp>
#include <endivehinge/detail/gateway/server_limits.hpp>

namespace endivehinge::detail
{

/// @brief HTTP server connection with request pipelining
///
/// Keeps reading while requests are in progress, in order to detect at once
/// that the client disconnects. Sends responses in request order.
/// @note thread safety: none; used on the event loop only
class server_connection final
    : public budgeted_connection,
      public std::enable_shared_from_this<server_connection>
{
public:
    // of the system, for each connection; what a client sends beyond it waits
    // at the client. Holds most requests, and at a round trip of 10 ms lets
    // 13 Mbit/s through
    static constexpr int receive_buffer_bytes = 16384;

    server_connection(boost::asio::ip::tcp::socket accepted,
                      request_handler & incoming_handler,
                      server_limits const & limits,
                      bool const & draining_flag);

    /// @brief bounds the memory of this connection together with others
    /// @pre called at most once, before start()
    /// @return false if there are too many connections; then this one must be
    /// closed
    [[nodiscard]] bool join(connection_registry & shared_registry,
                            listener_kind own_listener);

    /// @brief starts reading requests
    /// @pre called once
    void start();

    void give_way(client_limit limit) override;
    void resume_reading() override;

    /// @brief closes the connection and cancels the requests in progress;
    /// responses that the client has not received yet may be lost
    void close();

    /// @brief ends an idle connection after its last response was delivered,
    /// unless its client may be about to send a request
    void drain(time_point now);

    /// @brief ends an idle connection after its last response was delivered
    void finish();

    /// @brief lets requests in progress be answered early while the process
    /// stops
    void review_stop();

    /// @brief refuses a request that is still being received
    void refuse_partial_request();

    /// @brief enforces the limits on time: of idle connections, heads, whole
    /// messages, waits for memory, responses and the end of a connection
    void check_timeouts(time_point now);

    /// @brief whether the socket is open
    [[nodiscard]] bool is_open() const;

    /// @brief whether the connection is closed, or ended and all that was sent
    /// has been delivered
    [[nodiscard]] bool is_finished(time_point now);

    /// @brief number of requests whose response has not been sent
    [[nodiscard]] std::size_t pending_count() const;

private:
    friend class exchange;

    // fits most requests in one read
    static constexpr std::size_t read_buffer_bytes = 4096;

    /// @brief whether no request is being received, in progress or being
    /// answered
    [[nodiscard]] bool is_idle() const;
    /// @brief bytes sent, including the end of the connection, that the
    /// client's system has not acknowledged
    [[nodiscard]] std::size_t undelivered_bytes();
    /// @brief notes when the client's system acknowledged more
    void update_delivery(time_point now);
    void check_lingering(time_point now);
    /// @brief refuses a request that takes longer than any client needs
    /// @return whether it was refused
    [[nodiscard]] bool check_message_time(time_point now);
    /// @brief gives up a response that the client does not receive
    /// @return whether it was given up
    [[nodiscard]] bool check_write_time(time_point now);
    /// @brief whether memory for the next bytes is available; reading is paused
    /// otherwise
    [[nodiscard]] bool acquire_memory();
    void end_pause();
    /// @brief counts bytes toward the progress of the client
    void record_progress(std::size_t bytes);
    /// @brief tells the registry what this connection holds
    void report_use();
    [[nodiscard]] connection_activity activity() const;
    [[nodiscard]] connection_use current_use() const;
    /// @brief drops bytes after the last request of this connection, up to a
    /// limit
    void discard(std::size_t size);
    void record_limit(client_limit limit) const;
    void read();
    void handle_readable(boost::system::error_code error);
    void handle_read(boost::system::error_code error, std::size_t size);
    /// @brief closes the connection if an exception is thrown
    void parse_received();
    void parse();
    void start_parser();
    /// @brief frees the memory of what has arrived of a request
    void release_received();
    /// @brief checks the head of a request whose body is not complete
    /// @return whether it was refused
    [[nodiscard]] bool refuse_by_head();
    void handle_request();
    void send_continue();
    void write_continue();
    /// @brief discards empty lines ahead of a request
    /// @return whether more bytes are needed to tell
    [[nodiscard]] bool skip_empty_lines();
    /// @brief continues with the responses after the client ended its sending
    /// side
    void handle_end_of_requests();
    /// @brief closes the connection once the client has closed it
    void watch_for_reset();
    void reject(boost::system::error_code error);
    /// @brief responds to a request that is still being received, which ends
    /// the connection
    void refuse(response_message response);
    void write();
    void write_some(std::shared_ptr<exchange> const & front);
    void handle_write(boost::system::error_code error);
    /// @brief ends the sending side; the rest is received and dropped until the
    /// client closes, so that what was sent is delivered
    void shut_down_send();

    boost::asio::ip::tcp::socket socket;
    request_handler & handler;
    server_limits const & connection_limits;
    // while set, the response to the last pending request closes the connection
    bool const & draining;
    boost::beast::flat_buffer buffer;
    std::optional<message_parser<true>> parser;
    bool request_started = false;
    bool read_pending = false;
    bool accepts_requests = true;
    bool write_pending = false;
    bool continue_sent = false;
    bool lingering = false;
    // the client ended its sending side
    bool half_closed = false;
    std::size_t empty_lines = 0;
    std::optional<boost::asio::steady_timer> reset_timer;
    std::size_t last_undelivered = 0;
    std::deque<std::shared_ptr<exchange>> pending_exchanges;
    // of the response that is being sent
    std::optional<
        boost::beast::http::response_serializer<response_message::body_type>>
        response_writer;
    time_point last_activity;
    time_point request_start;
    // memory of the head of the request that is being received
    std::size_t head_bytes = 0;
    bool head_checked = false;
    std::uint64_t max_body_bytes = 0;

    // null if nothing bounds the connections together
    connection_registry * registry = nullptr;
    listener_kind listener = listener_kind::clients;
    std::optional<connection_id> id;
    bool has_served = false;
    bool has_given_way = false;
    bool paused = false;
    time_point paused_since;
    time_point linger_start;
    std::size_t discarded_bytes = 0;
    // since last_progress
    std::size_t progress_bytes = 0;
    time_point last_progress;
};

} // namespace endivehinge::detail

#endif

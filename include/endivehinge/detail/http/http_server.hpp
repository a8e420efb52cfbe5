#ifndef ENDIVEHINGE_DETAIL_HTTP_HTTP_SERVER_HPP
#define ENDIVEHINGE_DETAIL_HTTP_HTTP_SERVER_HPP

#include <cstddef>  // size_t
#include <cstdint>  // uint16_t
#include <memory>   // unique_ptr
#include <optional> // optional

#include <absl/time/time.h> // Duration

#include <endivehinge/core/endpoint.hpp>
#include <endivehinge/core/failure.hpp>
#include <endivehinge/detail/http/http_handler.hpp>

namespace endivehinge::detail
{

/// @brief bounds on what one peer may make a server hold
struct http_server_limits
{
    std::size_t connections = 512;
    std::size_t body_bytes = std::size_t{8} * 1024 * 1024;
    std::size_t header_bytes = std::size_t{32} * 1024;
    unsigned int idle_timeout_s = 30;
};

/// @brief an HTTP/1.1 server with a thread for each connection
/// @note the thread that reads a request also answers it, so that a request
///       costs no handover between threads
class http_server
{
public:
    /// @brief starts to listen
    /// @param address where; port 0 takes a free port
    /// @param handler answers the requests; outlives the server
    /// @param limits bounds on connections and messages
    /// @param reason why it could not listen
    [[nodiscard]] static std::unique_ptr<http_server>
    start(endpoint const & address,
          http_handler & handler,
          http_server_limits const & limits,
          failure & reason);

    http_server(http_server const &) = delete;
    http_server & operator=(http_server const &) = delete;

    /// @brief stops at once; use drain first where requests may be running
    ~http_server();

    /// @brief the port that it listens on
    [[nodiscard]] std::uint16_t port() const;

    /// @brief makes every answer from now on close its connection
    /// @note thread safety: any thread
    void close_connections_after_answers();

    /// @brief takes no new connection and waits for the requests in progress
    /// @return whether all of them were answered in time
    /// @note thread safety: one thread
    [[nodiscard]] bool drain(absl::Duration patience);

private:
    class state;

    explicit http_server(std::unique_ptr<state> initial);

    std::unique_ptr<state> shared;
};

} // namespace endivehinge::detail

#endif

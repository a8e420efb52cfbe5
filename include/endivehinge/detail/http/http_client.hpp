#ifndef ENDIVEHINGE_DETAIL_HTTP_HTTP_CLIENT_HPP
#define ENDIVEHINGE_DETAIL_HTTP_HTTP_CLIENT_HPP

#include <cstddef>  // size_t
#include <memory>   // shared_ptr
#include <optional> // optional

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/endpoint.hpp>
#include <endivehinge/core/failure.hpp>
#include <endivehinge/core/http_message.hpp>
#include <endivehinge/detail/http/http_call.hpp>
#include <endivehinge/detail/http/http_exchange_options.hpp>

namespace endivehinge::detail
{

/// @brief what is known of an exchange besides its answer
struct http_exchange_report
{
    // whether any byte of the request can have reached the peer
    bool maybe_sent = false;
};

/// @brief bounds on what a client holds
struct http_client_limits
{
    std::size_t idle_connections_per_peer = 64;
    std::size_t response_bytes = std::size_t{8} * 1024 * 1024;
    // kept below the idle timeout of the servers that we talk to
    long idle_age_s = 20;
};

class connection_pool;

/// @brief an HTTP/1.1 client that keeps connections and never sends twice
class http_client
{
public:
    explicit http_client(http_client_limits const & limits);
    http_client(http_client const &) = delete;
    http_client & operator=(http_client const &) = delete;
    ~http_client();

    /// @brief sends a request once, without waiting for the response
    /// @param peer where to
    /// @param request what to send; a Host header is added
    /// @param options time and cancellation
    /// @note thread safety: any thread; the call belongs to one thread
    [[nodiscard]] http_call begin(endpoint const & peer,
                                  http_request const & request,
                                  http_exchange_options const & options);

    /// @brief sends a request once and waits for the whole response
    /// @param peer where to
    /// @param request what to send; a Host header is added
    /// @param options time and cancellation
    /// @param report filled also where there is no response
    /// @param reason why there is no response
    /// @note thread safety: any thread; each exchange has its own connection
    [[nodiscard]] std::optional<http_response>
    exchange(endpoint const & peer,
             http_request const & request,
             http_exchange_options const & options,
             http_exchange_report & report,
             failure & reason);

    /// @brief drops the idle connections to a peer
    /// @note thread safety: any thread
    void forget(endpoint const & peer);

private:
    std::shared_ptr<connection_pool> connections;
};

} // namespace endivehinge::detail

#endif

#ifndef ENDIVEHINGE_DETAIL_HTTP_HTTP_CALL_HPP
#define ENDIVEHINGE_DETAIL_HTTP_HTTP_CALL_HPP

#include <memory>   // shared_ptr, unique_ptr
#include <optional> // optional

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/endpoint.hpp>
#include <endivehinge/core/failure.hpp>
#include <endivehinge/core/http_message.hpp>
#include <endivehinge/detail/http/http_exchange_options.hpp>

namespace endivehinge::detail
{

class http_client;
class connection_pool;

/// @brief one exchange in progress; closes its connection if given up
/// @note made by http_client::begin
/// @note thread safety: one thread
class http_call
{
public:
    http_call(http_call &&) noexcept;
    http_call & operator=(http_call &&) noexcept;
    ~http_call();

    /// @brief waits for the end of the exchange
    /// @return whether it ended
    [[nodiscard]] bool wait(duration patience);

    /// @brief whether any byte of the request can have reached the peer
    [[nodiscard]] bool was_sent() const;

    /// @brief the response
    /// @param reason why there is none; timed_out while none came yet
    [[nodiscard]] std::optional<http_response> take(failure & reason);

private:
    friend class http_client;

    class exchange_state;

    http_call(std::shared_ptr<connection_pool> pool,
              endpoint const & peer,
              http_request const & request,
              http_exchange_options const & options);

    std::unique_ptr<exchange_state> state;
};

} // namespace endivehinge::detail

#endif

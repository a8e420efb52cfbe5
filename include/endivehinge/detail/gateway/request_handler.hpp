#ifndef ENDIVEHINGE_DETAIL_GATEWAY_REQUEST_HANDLER_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_REQUEST_HANDLER_HPP

#include <memory> // shared_ptr

#include <endivehinge/detail/gateway/exchange.hpp>
#include <endivehinge/detail/gateway/head_verdict.hpp>

namespace endivehinge::detail
{

/// @brief handles the requests that a listener receives
class request_handler
{
public:
    request_handler() = default;
    request_handler(request_handler const &) = delete;
    request_handler & operator=(request_handler const &) = delete;
    virtual ~request_handler() = default;

    /// @brief handles one complete request and responds exactly once, during
    /// the call or later
    /// @note thread safety: called on the event loop only
    virtual void handle(std::shared_ptr<exchange> incoming) = 0;

    /// @brief decides on a request whose body has not arrived completely
    /// @note thread safety: called on the event loop only
    [[nodiscard]] virtual head_verdict
    check_head(request_head const & /*head*/) const
    {
        return {};
    }

    /// @brief the response to a request that the process has no memory to
    /// receive, and that was not handled
    /// @note thread safety: called on the event loop only
    [[nodiscard]] virtual response_message overload_response()
    {
        return response_message{boost::beast::http::status::service_unavailable,
                                11};
    }
};

} // namespace endivehinge::detail

#endif

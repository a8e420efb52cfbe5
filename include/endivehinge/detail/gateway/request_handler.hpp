#ifndef ENDIVEHINGE_DETAIL_GATEWAY_REQUEST_HANDLER_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_REQUEST_HANDLER_HPP

#include <memory> // shared_ptr

#include <endivehinge/detail/gateway/exchange.hpp>

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
};

} // namespace endivehinge::detail

#endif

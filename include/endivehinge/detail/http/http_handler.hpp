#ifndef ENDIVEHINGE_DETAIL_HTTP_HTTP_HANDLER_HPP
#define ENDIVEHINGE_DETAIL_HTTP_HTTP_HANDLER_HPP

#include <endivehinge/core/http_message.hpp>

namespace endivehinge::detail
{

/// @brief what a server knows of the connection that a request came on
struct http_connection
{
    // watched for hang-up while a handler waits; -1 where there is none
    int socket = -1;
};

/// @brief answers the requests of one server
class http_handler
{
public:
    http_handler() = default;
    http_handler(http_handler const &) = delete;
    http_handler & operator=(http_handler const &) = delete;
    virtual ~http_handler() = default;

    /// @brief answers one whole request; may block until its deadline
    /// @note thread safety: called by one thread a connection, concurrently
    [[nodiscard]] virtual http_response handle(http_request request,
                                               http_connection connection) = 0;
};

} // namespace endivehinge::detail

#endif

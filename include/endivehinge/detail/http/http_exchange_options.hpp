#ifndef ENDIVEHINGE_DETAIL_HTTP_HTTP_EXCHANGE_OPTIONS_HPP
#define ENDIVEHINGE_DETAIL_HTTP_HTTP_EXCHANGE_OPTIONS_HPP

#include <endivehinge/core/clock.hpp>

namespace endivehinge::detail
{

/// @brief how one exchange is made
struct http_exchange_options
{
    // the exchange ends by then
    duration timeout{0};
    duration connect_timeout{std::chrono::milliseconds(250)};
    // opens a connection of its own instead of reusing one
    bool fresh_connection = false;
    // reuses no connection that was idle for longer
    duration longest_idle = std::chrono::hours(1);
    // ends the exchange when the peer of this socket hangs up; -1: none
    int watched_socket = -1;
};

} // namespace endivehinge::detail

#endif

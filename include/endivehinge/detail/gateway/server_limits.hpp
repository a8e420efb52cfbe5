#ifndef ENDIVEHINGE_DETAIL_GATEWAY_SERVER_LIMITS_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_SERVER_LIMITS_HPP

#include <cstddef> // size_t
#include <cstdint> // uint32_t, uint64_t

#include <endivehinge/core/clock.hpp>

namespace endivehinge::detail
{

/// @brief limits of the server connections of a listener
struct server_limits
{
    // defaults; the configuration can replace these four limits
    std::uint32_t header_bytes = 16384;
    std::uint64_t body_bytes = 67108864;
    duration header_timeout = std::chrono::seconds(3);
    duration idle_timeout = std::chrono::seconds(15);
    // requests in progress per connection; reading pauses at this limit
    std::size_t max_pipelined_requests = 16;
    // whether a client that ends its sending side still gets its responses
    bool accepts_half_close = false;
    // limits the file descriptors of a listener without connection_registry;
    // further connections are closed
    std::size_t max_connections = 2000;
};

} // namespace endivehinge::detail

#endif

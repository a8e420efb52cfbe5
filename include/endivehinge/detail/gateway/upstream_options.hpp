#ifndef ENDIVEHINGE_DETAIL_GATEWAY_UPSTREAM_OPTIONS_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_UPSTREAM_OPTIONS_HPP

#include <cstddef> // size_t
#include <cstdint> // uint32_t, uint64_t

#include <endivehinge/core/clock.hpp>
#include <endivehinge/detail/gateway/connection_counter.hpp>
#include <endivehinge/detail/gateway/response_registry.hpp>

namespace endivehinge::detail
{

/// @brief limits of the connections to one server
struct upstream_options
{
    // a Keep-Alive response header can shorten it
    duration idle_timeout = std::chrono::seconds(4);
    // the kernel closes a connection if sent data stays unacknowledged for
    // this long
    duration unacknowledged_timeout = std::chrono::milliseconds(1500);
    // active and idle connections
    std::size_t max_connections = 128;
    // status line and header fields; a longer header fails the call
    std::uint32_t max_header_bytes = 16384;
    // body size; a larger response fails the call
    std::uint64_t max_response_bytes = 67108864;
    // limits the memory of responses in progress on all connections of the
    // process; null: not limited. Must outlive the connections
    response_registry * responses = nullptr;
    // limits the connections to several servers together; null: not limited.
    // Must outlive the connections
    connection_counter * counter = nullptr;
};

} // namespace endivehinge::detail

#endif

#ifndef ENDIVEHINGE_DETAIL_GATEWAY_UPSTREAM_OPTIONS_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_UPSTREAM_OPTIONS_HPP

#include <cstddef> // size_t
#include <cstdint> // uint64_t

#include <endivehinge/core/clock.hpp>

namespace endivehinge::detail
{

/// @brief bounds of the connections to one server
struct upstream_options
{
    // used where the server does not state its own with Keep-Alive
    duration idle_timeout = std::chrono::seconds(4);
    // sent bytes unacknowledged for this long end the connection
    duration unacknowledged_timeout = std::chrono::milliseconds(1500);
    // open connections, in use and idle
    std::size_t connections = 128;
    // a larger response is not taken
    std::uint64_t response_bytes = 67108864;
};

} // namespace endivehinge::detail

#endif

#ifndef ENDIVEHINGE_DETAIL_GATEWAY_SERVER_LIMITS_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_SERVER_LIMITS_HPP

#include <cstddef> // size_t
#include <cstdint> // uint32_t, uint64_t

#include <endivehinge/core/clock.hpp>

namespace endivehinge::detail
{

/// @brief what a client may send, and how long it may take
struct server_limits
{
    // the operators' configuration replaces these four
    std::uint32_t header_bytes = 16384;
    std::uint64_t body_bytes = 67108864;
    duration header_timeout = std::chrono::seconds(3);
    duration idle_timeout = std::chrono::seconds(15);
    // pipelined requests that run at once; reading stops beyond that
    std::size_t pipelined = 16;
    // bounds the descriptors that one listener may hold
    std::size_t connections = 2000;
};

} // namespace endivehinge::detail

#endif

#ifndef ENDIVEHINGE_DETAIL_GATEWAY_CONNECTION_USE_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_CONNECTION_USE_HPP

#include <cstddef> // size_t
#include <cstdint> // uint64_t

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/strong_type.hpp>

namespace endivehinge::detail
{

/// @brief identifies a server connection of the process
using connection_id = strong_type<struct connection_id_tag, std::uint64_t>;

/// @brief what a server connection does at present
enum class connection_activity
{
    unused,     // no byte of a request has arrived since it was accepted
    idle,       // between two requests
    receiving,  // a request has begun to arrive
    running,    // a request is in progress
    responding, // a response is being sent
};

/// @brief what a server connection holds, and since when
struct connection_use
{
    connection_activity activity = connection_activity::unused;
    // bytes of heads, of bodies up to the size of a small one, and of what the
    // system may have received and the process has not read
    std::size_t ordinary_bytes = 0;
    // bytes of bodies beyond that size
    std::size_t large_bytes = 0;
    // when the request that is being received began
    time_point message_start;
    // when the client last sent or took a considerable number of bytes
    time_point last_progress;
    // reading waits for memory
    bool paused = false;
};

} // namespace endivehinge::detail

#endif

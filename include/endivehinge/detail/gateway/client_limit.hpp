#ifndef ENDIVEHINGE_DETAIL_GATEWAY_CLIENT_LIMIT_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_CLIENT_LIMIT_HPP

namespace endivehinge::detail
{

/// @brief the limits of the process at which a connection gives way
enum class client_limit
{
    connections,  // open connections of all listeners
    memory,       // of all connections, apart from large bodies
    large_memory, // of large bodies on all connections
    message_time, // from the first byte of a request to its last
    write_time,   // without progress of a response
    discarded,    // bytes read and dropped after the last request
};

/// @brief the name of a limit in metrics and log lines
[[nodiscard]] char const * to_string(client_limit limit);

} // namespace endivehinge::detail

#endif

#ifndef ENDIVEHINGE_DETAIL_CONTROL_CONTROL_LIMITS_HPP
#define ENDIVEHINGE_DETAIL_CONTROL_CONTROL_LIMITS_HPP

#include <cstddef> // size_t

namespace endivehinge::detail
{

/// @brief bounds on what coordination makes a node hold
struct control_limits
{
    // an object of the platform is a megabyte at most, a response holds some
    std::size_t message_bytes = std::size_t{4} * 1024 * 1024;
    // threads that answer peers at a time
    int server_threads = 6;
    // peers whose connection is kept
    std::size_t channels = 16;
};

} // namespace endivehinge::detail

#endif

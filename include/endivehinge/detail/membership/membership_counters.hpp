#ifndef ENDIVEHINGE_DETAIL_MEMBERSHIP_MEMBERSHIP_COUNTERS_HPP
#define ENDIVEHINGE_DETAIL_MEMBERSHIP_MEMBERSHIP_COUNTERS_HPP

#include <cstdint> // uint64_t

namespace endivehinge::detail
{

/// @brief what a node's membership has done since its start
struct membership_counters
{
    std::uint64_t datagrams_sent = 0;
    std::uint64_t datagrams_received = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
    // received, but no message
    std::uint64_t invalid_datagrams = 0;
    std::uint64_t failed_sends = 0;
};

} // namespace endivehinge::detail

#endif

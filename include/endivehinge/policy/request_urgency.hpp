#ifndef ENDIVEHINGE_POLICY_REQUEST_URGENCY_HPP
#define ENDIVEHINGE_POLICY_REQUEST_URGENCY_HPP

#include <cstdint> // uint32_t

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief priority, latency target and deadline of a request
struct request_urgency
{
    // lower ranks run first; 0 is the highest priority
    std::uint32_t rank = 0;
    // a response after this time misses the latency target of the route
    time_point target_time;
    // a response after this time is of no use to the client
    time_point deadline;
};

} // namespace endivehinge

#endif

#ifndef ENDIVEHINGE_POLICY_TARGET_LOAD_HPP
#define ENDIVEHINGE_POLICY_TARGET_LOAD_HPP

#include <cstdint> // uint32_t

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief load of a target, as measured by the node beside it
struct target_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    // requests that may run concurrently
    std::uint32_t limit = 1;
    // current run time of a request relative to its normal run time
    double slowdown = 1;
    // share of recent requests that failed, 0 to 1
    double failure_share = 0;
    // accepts no new requests: the target is draining, evacuated or unknown
    bool closed = false;
    // time until another request could start at the rate limit of a cold
    // target, and between two starts; 0 if the target is not cold
    duration start_delay{0};
    duration start_interval{0};
};

} // namespace endivehinge

#endif

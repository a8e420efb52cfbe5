#ifndef ENDIVEHINGE_POLICY_TARGET_LOAD_HPP
#define ENDIVEHINGE_POLICY_TARGET_LOAD_HPP

#include <cstdint>  // uint32_t
#include <optional> // optional

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
    // time until another request could start at the rate limit of the target,
    // and between two starts; 0 if it has none
    duration start_delay{0};
    duration start_interval{0};
    // requests per second that the target states to take from all nodes
    // together
    std::optional<double> stated_rate;
};

} // namespace endivehinge

#endif

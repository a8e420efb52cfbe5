#ifndef ENDIVEHINGE_POLICY_LOAD_SIGNAL_HPP
#define ENDIVEHINGE_POLICY_LOAD_SIGNAL_HPP

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief the load of a target as last reported by its own node
struct load_signal
{
    // requests running and queued at the target
    double in_flight = 0;
    // requests that it can run concurrently; 0 if it accepts no new ones
    double limit = 0;
    // recent service time
    duration latency{0};
    // time at which the signal was received
    time_point received;
};

} // namespace endivehinge

#endif

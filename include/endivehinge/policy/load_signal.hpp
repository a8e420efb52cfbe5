#ifndef ENDIVEHINGE_POLICY_LOAD_SIGNAL_HPP
#define ENDIVEHINGE_POLICY_LOAD_SIGNAL_HPP

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief the load of a target, as its own node last told it
struct load_signal
{
    // running and waiting at the target
    double in_flight = 0;
    // requests that it can run at once now; 0: it takes no new work
    double limit = 0;
    // recent service time
    duration latency{0};
    // when the signal came in
    time_point received;
};

} // namespace endivehinge

#endif

#ifndef ENDIVEHINGE_POLICY_TARGET_ADMISSION_OPTIONS_HPP
#define ENDIVEHINGE_POLICY_TARGET_ADMISSION_OPTIONS_HPP

#include <cstddef> // size_t

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief bounds and weights of a target_admission_policy
struct target_admission_options
{
    // part of the slots that is filled; targets slow down when nearly full
    double usable_slots = 0.8;
    // bounds memory; the waiting time bounds the queue long before
    std::size_t waiting = 256;
    // weight of the newest run in the mean run time
    double run_time_weight = 0.1;
    // a mean run time to which nothing was added for so long is forgotten: a
    // target that was slow may refuse for it what it could run now
    duration run_time_memory = std::chrono::milliseconds(1000);
    // the same for run times without the slowdown, which do not follow it
    duration usual_run_time_memory = std::chrono::seconds(10);
    // weight of the newest outcome in the share of failures
    double failure_weight = 0.1;
    // a slowdown that was heard this long ago still holds
    duration fresh = std::chrono::milliseconds(8);
    // a target slower than this is slow
    double slow = 1.5;
    // how long a slow period lasts where none was seen yet
    duration slow_period = std::chrono::milliseconds(100);
    // a queue that stays for so long shows that more comes than can be run
    duration standing_queue = std::chrono::milliseconds(300);
    // time that a run is planned to take, relative to its mean; runs spread
    double planned_run = 1.3;
    // a request waits at most so long for the end of a slow period before it
    // is given back to be placed again
    duration slow_patience = std::chrono::milliseconds(60);
    // rate of a cold target relative to the one that is stated, and requests
    // beyond it at once; both stay below what it bears
    double cold_rate_factor = 1.25;
    double cold_burst = 4;
    // between probes while requests wait for the slow period to end
    duration probe_interval = std::chrono::milliseconds(12);
    // probes of the target in a second, for the slowdown
    double probe_rate = 45;
    // a probe without an answer for so long counts as failed
    duration probe_patience = std::chrono::milliseconds(30);
    // after a failed probe requests start without one for this long
    duration probe_pause = std::chrono::milliseconds(250);
    // part of the time left that waiting and running may be expected to take;
    // the rest covers the spread of run times
    double usable_time = 0.7;
};

} // namespace endivehinge

#endif

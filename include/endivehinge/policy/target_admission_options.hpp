#ifndef ENDIVEHINGE_POLICY_TARGET_ADMISSION_OPTIONS_HPP
#define ENDIVEHINGE_POLICY_TARGET_ADMISSION_OPTIONS_HPP

#include <cstddef> // size_t

#include <endivehinge/core/clock.hpp>
#include <endivehinge/policy/slow_threshold.hpp>

namespace endivehinge
{

/// @brief limits and weights of a target_admission_policy
struct target_admission_options
{
    // largest queue length; bounds memory only: requests with a long expected
    // wait are refused before the queue is this long
    std::size_t max_waiting = 256;
    // weight of the newest request in the mean run time
    double run_time_weight = 0.1;
    // a mean run time without a new sample for this long is discarded: a mean
    // from a slow period would refuse requests that the target could run now
    duration run_time_max_age = std::chrono::milliseconds(1000);
    // the same for run times divided by the slowdown, which do not rise with it
    duration base_run_time_max_age = std::chrono::seconds(10);
    // weight of the newest request in the failure share
    double failure_weight = 0.1;
    // a reported slowdown is valid for this long
    duration slowdown_max_age = std::chrono::milliseconds(8);
    // a target with a slowdown above this counts as slow
    double slow_threshold = default_slow_threshold;
    // assumed length of a slow period until one has been observed
    duration initial_slow_period = std::chrono::milliseconds(100);
    // requests that queue without interruption for this long indicate that
    // more requests arrive than the target can run
    duration overload_queue_duration = std::chrono::milliseconds(300);
    // without queueing for this long, overload has ended; while overload is
    // refused, the queue is often empty for a moment
    duration overload_end_duration = std::chrono::milliseconds(300);
    // planned run time relative to the mean; allows for run time variation
    double planned_run_time_factor = 1.3;
    // run time assumed before any was measured, relative to the time from the
    // arrival of the request to its target time
    double default_run_time_share = 1.0 / 3;
    // under overload, longest wait of a request on a cold target that takes
    // longer than the target time by itself; it is answered late in any case
    duration max_late_wait = std::chrono::milliseconds(50);
    // longest wait of a request for the end of a slow period; after it the
    // request is returned to be placed on another target
    duration max_slow_wait = std::chrono::milliseconds(60);
    // requests that a cold target may receive at once
    double cold_burst = 4;
    // largest slowdown that is attributed to a target being cold; a cold target
    // that is slower counts as slow
    double max_cold_slowdown = 4;
    // interval of probes while requests wait for the end of a slow period
    duration probe_interval = std::chrono::milliseconds(12);
    // sustained rate of slowdown probes to the target
    double probes_per_second = 45;
    // a probe without a response for this long counts as failed
    duration probe_timeout = std::chrono::milliseconds(30);
    // after a failed probe, requests start without a probe for this long
    duration failed_probe_backoff = std::chrono::milliseconds(250);
    // share of the time to the deadline that the expected wait and run time
    // may use; the rest allows for run time variation
    double usable_time_share = 0.7;
    // planned wait of a request whose account is above its share, relative to
    // the wait behind the requests that are in the queue already; without it,
    // most of them waited for a third of their target time to be refused
    double overtaken_wait_factor = 2;
};

} // namespace endivehinge

#endif

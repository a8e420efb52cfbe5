#ifndef ENDIVEHINGE_POLICY_STOP_SCHEDULE_HPP
#define ENDIVEHINGE_POLICY_STOP_SCHEDULE_HPP

#include <endivehinge/core/clock.hpp>
#include <endivehinge/policy/request_urgency.hpp>

namespace endivehinge
{

/// @brief which requests a stopping node still accepts, and until when it
/// leaves the ones in progress to their targets
///
/// Handles nodes that are restarted in turn while their targets keep running: a
/// node that refuses requests as soon as it is told to stop takes its target
/// away for the seconds in which clients learn that it stops. A request that is
/// accepted and outlives the process loses its response, and those of the
/// requests behind it on its connection. Clients learn of the stop in a time
/// that does not depend on the grace time; what they send later is accepted
/// only if it ends in time in the worst case.
/// @note pure; thread safety: const, any thread
struct stop_schedule
{
    // from then on no request of another node is accepted
    time_point drain_start;
    // latest end of the process
    time_point deadline;
    // clients have learned by then that the node stops
    time_point notice_end;
    // requests in progress are answered by the node itself from then on
    time_point conclusion;

    /// @brief the schedule of a node that is told to stop now
    /// @param grace after which the platform kills the process
    [[nodiscard]] static stop_schedule begin(time_point now, duration grace);

    /// @brief whether a request of another node may be accepted
    /// @param idempotent whether another node can run the request again if the
    /// process ends first
    [[nodiscard]] bool accepts(request_urgency const & urgency,
                               bool idempotent,
                               time_point now) const;

    /// @brief whether a request of a client may be accepted
    /// @param latest_end when the node stops waiting for its response, whatever
    /// its run time
    /// @param mean_run_time of requests of its route; counts only until clients
    /// have learned of the stop
    [[nodiscard]] bool accepts_from_client(time_point latest_end,
                                           duration mean_run_time,
                                           time_point now) const;

    /// @brief whether a request that waits for its target may still complete if
    /// it starts now
    [[nodiscard]] bool can_complete(duration mean_run_time,
                                    time_point now) const;
};

} // namespace endivehinge

#endif

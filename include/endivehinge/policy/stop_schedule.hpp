#ifndef ENDIVEHINGE_POLICY_STOP_SCHEDULE_HPP
#define ENDIVEHINGE_POLICY_STOP_SCHEDULE_HPP

#include <endivehinge/core/clock.hpp>
#include <endivehinge/policy/request_urgency.hpp>

namespace endivehinge
{

/// @brief which requests of other nodes a stopping node still accepts
///
/// Handles nodes that are restarted in turn while their targets keep running: a
/// node that refuses requests as soon as it is told to stop takes its target
/// away for the seconds in which clients learn that it stops.
/// @note pure; thread safety: const, any thread
struct stop_schedule
{
    // from then on no request of another node is accepted
    time_point drain_start;
    // latest end of the process
    time_point deadline;

    /// @brief whether a request may be accepted
    /// @param idempotent whether another node can run the request again if the
    /// process ends first
    [[nodiscard]] bool accepts(request_urgency const & urgency,
                               bool idempotent,
                               time_point now) const;
};

} // namespace endivehinge

#endif

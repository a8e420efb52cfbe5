#include <endivehinge/policy/stop_schedule.hpp>

#include <algorithm> // max

namespace endivehinge
{
namespace
{

// the platform probes readiness every second and stops sending clients after
// two negative responses
constexpr duration readiness_propagation_time = std::chrono::milliseconds(2300);
// before clients have left, for the requests of other nodes to end
constexpr duration peer_drain_time = std::chrono::milliseconds(300);
// time before the platform kills the process, for sending the last responses
constexpr duration kill_safety_margin = std::chrono::milliseconds(300);
// time before the end of the process in which clients have been notified to
// leave
constexpr duration shutdown_margin = std::chrono::milliseconds(2900);
// time before the end of the process, for the last responses to be written and
// delivered
constexpr duration conclusion_margin = std::chrono::milliseconds(400);
// a request that waits is refused this long before the conclusion, so that none
// starts in place of one that is concluded; spans two reviews
constexpr duration min_start_lead = std::chrono::milliseconds(100);
// relative to the mean; few requests of a route take longer
constexpr int max_usual_run_time = 2;

} // namespace

stop_schedule stop_schedule::begin(time_point now, duration grace)
{
    stop_schedule schedule;
    schedule.drain_start = now + readiness_propagation_time - peer_drain_time;
    schedule.deadline = now + grace - kill_safety_margin;
    schedule.notice_end = schedule.deadline - shutdown_margin;
    schedule.conclusion = schedule.deadline - conclusion_margin;
    return schedule;
}

bool stop_schedule::accepts(request_urgency const & urgency,
                            bool idempotent,
                            time_point now) const
{
    auto const expected_end =
        idempotent ? urgency.target_time : urgency.deadline;
    return now < this->drain_start && expected_end <= this->conclusion;
}

bool stop_schedule::accepts_from_client(time_point request_deadline,
                                        duration mean_run_time,
                                        time_point now) const
{
    if (request_deadline <= this->conclusion)
    {
        return true;
    }
    return now < this->notice_end &&
           now + max_usual_run_time * mean_run_time <= this->conclusion;
}

bool stop_schedule::can_complete(duration mean_run_time, time_point now) const
{
    return now + std::max(mean_run_time, min_start_lead) <= this->conclusion;
}

} // namespace endivehinge

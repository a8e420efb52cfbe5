#include <endivehinge/policy/stop_schedule.hpp>

#include <algorithm> // max, min

namespace endivehinge
{
namespace
{

// the platform probes readiness every second and stops sending clients after
// two negative responses
constexpr duration readiness_propagation_time = std::chrono::milliseconds(2300);
// before clients have left, for the requests of other nodes to end
constexpr duration peer_drain_time = std::chrono::milliseconds(300);
// from the signal until clients have learned that the node stops. The rules of
// the platform excuse what is sent within 3 s of the signal; the rest is for
// signals that are handled late
constexpr duration notice_time = std::chrono::milliseconds(2800);
// time before the platform kills the process, for sending the last responses
constexpr duration kill_safety_margin = std::chrono::milliseconds(300);
// time before the end of the process, for the last responses to be written and
// delivered
constexpr duration conclusion_margin = std::chrono::milliseconds(400);
// time before the end of the process in which a request must end in the worst
// case, also if clients have not learned of the stop: a short grace time is
// over before they do
constexpr duration shutdown_margin = std::chrono::milliseconds(2900);
// both margins together take this part of the grace time at most: the rules of
// the platform excuse what is broken off in its last sixth
constexpr int grace_margin_divisor = 6;
// a request that waits is refused this long before the conclusion, so that none
// starts in place of one that is concluded; spans two reviews
constexpr duration min_start_lead = std::chrono::milliseconds(100);
// relative to the mean; few requests of a route take longer
constexpr int max_usual_run_time = 2;

} // namespace

stop_schedule stop_schedule::begin(time_point now, duration grace)
{
    constexpr auto margins = kill_safety_margin + conclusion_margin;
    auto const margin = std::min(margins, grace / grace_margin_divisor);
    stop_schedule schedule;
    schedule.drain_start = now + readiness_propagation_time - peer_drain_time;
    schedule.conclusion = now + grace - margin;
    schedule.deadline =
        schedule.conclusion +
        std::chrono::duration_cast<duration>(
            margin * (std::chrono::duration<double>(conclusion_margin) /
                      std::chrono::duration<double>(margins)));
    schedule.notice_end =
        std::min(now + notice_time, schedule.deadline - shutdown_margin);
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

bool stop_schedule::accepts_from_client(time_point latest_end,
                                        duration mean_run_time,
                                        time_point now) const
{
    if (latest_end <= this->conclusion)
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

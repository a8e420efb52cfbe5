#include <endivehinge/policy/stop_schedule.hpp>

namespace endivehinge
{

bool stop_schedule::accepts(request_urgency const & urgency,
                            bool idempotent,
                            time_point now) const
{
    auto const expected_end =
        idempotent ? urgency.target_time : urgency.deadline;
    return now < this->drain_start && expected_end <= this->deadline;
}

} // namespace endivehinge

#include <endivehinge/policy/placement_limit.hpp>

namespace endivehinge
{
namespace
{

// bounds the work for one request whatever the refusals
constexpr std::uint32_t max_placements = 24;
// refusals for lack of capacity after which the request is rejected
constexpr std::uint32_t max_capacity_refusals = 4;

} // namespace

placement_limit::placement_limit(time_point arrival, duration run_time)
    : arrived_at(arrival)
    , expected_run_time(run_time)
{
}

bool placement_limit::allows_placement(request_urgency const & urgency,
                                       time_point now) const
{
    if (this->placements >= max_placements ||
        this->capacity_refusals >= max_capacity_refusals)
    {
        return false;
    }
    bool const was_on_time =
        this->arrived_at + this->expected_run_time <= urgency.target_time;
    bool const is_late = now + this->expected_run_time > urgency.target_time;
    return this->capacity_refusals == 0 || !was_on_time || !is_late;
}

void placement_limit::record_placement()
{
    this->placements += 1;
}

void placement_limit::record_refusal(admission_refusal reason)
{
    switch (reason)
    {
    case admission_refusal::cold:
    case admission_refusal::busy:
    case admission_refusal::too_late:
    case admission_refusal::limited:
        this->capacity_refusals += 1;
        return;
    case admission_refusal::none:
    case admission_refusal::closed:
    case admission_refusal::slow:
    case admission_refusal::other_incarnation:
    case admission_refusal::crashing:
        return;
    }
}

} // namespace endivehinge

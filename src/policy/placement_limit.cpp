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

bool placement_limit::allows_placement() const
{
    return this->placements < max_placements &&
           this->capacity_refusals < max_capacity_refusals;
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
        this->capacity_refusals += 1;
        return;
    case admission_refusal::none:
    case admission_refusal::closed:
    case admission_refusal::slow:
    case admission_refusal::other_incarnation:
        return;
    }
}

} // namespace endivehinge

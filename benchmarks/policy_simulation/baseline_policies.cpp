#include "baseline_policies.hpp"

#include <absl/random/distributions.h> // Uniform

namespace endivehinge::simulation
{
namespace
{

double reported(placement_candidate const & candidate)
{
    return candidate.signal.has_value() ? candidate.signal->in_flight : 0;
}

} // namespace

std::optional<std::size_t> random_policy::choose(candidate_list const & list,
                                                 time_point,
                                                 absl::BitGenRef random) const
{
    if (list.empty())
    {
        return std::nullopt;
    }
    return absl::Uniform<std::size_t>(random, 0, list.size());
}

std::optional<std::size_t> round_robin_policy::choose(
    candidate_list const & list, time_point, absl::BitGenRef) const
{
    if (list.empty())
    {
        return std::nullopt;
    }
    return this->turn++ % list.size();
}

std::optional<std::size_t> least_in_flight_policy::choose(
    candidate_list const & list, time_point, absl::BitGenRef random) const
{
    if (list.empty())
    {
        return std::nullopt;
    }
    auto best = absl::Uniform<std::size_t>(random, 0, list.size());
    for (std::size_t index = 0; index < list.size(); ++index)
    {
        if (list[index].own_in_flight < list[best].own_in_flight)
        {
            best = index;
        }
    }
    return best;
}

std::optional<std::size_t> two_choices_reported_policy::choose(
    candidate_list const & list, time_point, absl::BitGenRef random) const
{
    if (list.empty())
    {
        return std::nullopt;
    }
    auto const first = absl::Uniform<std::size_t>(random, 0, list.size());
    if (list.size() == 1)
    {
        return first;
    }
    auto second = absl::Uniform<std::size_t>(random, 0, list.size() - 1);
    second += second >= first ? 1U : 0U;
    return reported(list[first]) <= reported(list[second]) ? first : second;
}

} // namespace endivehinge::simulation

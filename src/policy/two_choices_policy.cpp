#include <endivehinge/policy/placement_policy.hpp>

#include <absl/random/distributions.h> // Uniform

namespace endivehinge
{

std::optional<std::size_t>
two_choices_policy::choose(std::vector<placement_candidate> const & candidates,
                           time_point,
                           absl::BitGenRef random) const
{
    if (candidates.empty())
    {
        return std::nullopt;
    }
    auto const first = absl::Uniform<std::size_t>(random, 0, candidates.size());
    auto const second =
        absl::Uniform<std::size_t>(random, 0, candidates.size());
    return candidates[first].own_in_flight <= candidates[second].own_in_flight
               ? first
               : second;
}

} // namespace endivehinge

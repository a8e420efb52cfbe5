#ifndef ENDIVEHINGE_BENCHMARKS_BASELINE_POLICIES_HPP
#define ENDIVEHINGE_BENCHMARKS_BASELINE_POLICIES_HPP

#include <cstddef>  // size_t
#include <optional> // optional
#include <vector>   // vector

#include <absl/random/bit_gen_ref.h> // BitGenRef

#include <endivehinge/policy/placement_policy.hpp>

namespace endivehinge::simulation
{

using candidate_list = std::vector<placement_candidate>;

/// @brief any candidate
class random_policy final : public placement_policy
{
public:
    [[nodiscard]] std::optional<std::size_t>
    choose(candidate_list const & candidates,
           time_point now,
           absl::BitGenRef random) const override;
};

/// @brief the next candidate; the turn is one for all nodes
/// @note thread safety: none, unlike the others
class round_robin_policy final : public placement_policy
{
public:
    [[nodiscard]] std::optional<std::size_t>
    choose(candidate_list const & candidates,
           time_point now,
           absl::BitGenRef random) const override;

private:
    mutable std::size_t turn = 0;
};

/// @brief the candidate with the fewest own requests in flight
class least_in_flight_policy final : public placement_policy
{
public:
    [[nodiscard]] std::optional<std::size_t>
    choose(candidate_list const & candidates,
           time_point now,
           absl::BitGenRef random) const override;
};

/// @brief the less loaded of two, by the load that they last reported
class two_choices_reported_policy final : public placement_policy
{
public:
    [[nodiscard]] std::optional<std::size_t>
    choose(candidate_list const & candidates,
           time_point now,
           absl::BitGenRef random) const override;
};

} // namespace endivehinge::simulation

#endif

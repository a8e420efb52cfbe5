#ifndef ENDIVEHINGE_POLICY_LOAD_AWARE_POLICY_HPP
#define ENDIVEHINGE_POLICY_LOAD_AWARE_POLICY_HPP

#include <cstddef>  // size_t
#include <optional> // optional
#include <vector>   // vector

#include <absl/random/bit_gen_ref.h> // BitGenRef

#include <endivehinge/policy/load_aware_options.hpp>
#include <endivehinge/policy/placement_policy.hpp>

namespace endivehinge
{

/// @brief compares a sample of candidates by their expected response time
class load_aware_policy final : public placement_policy
{
public:
    explicit load_aware_policy(load_aware_options chosen = {});

    [[nodiscard]] std::optional<std::size_t>
    choose(std::vector<placement_candidate> const & candidates,
           time_point now,
           absl::BitGenRef random) const override;

private:
    load_aware_options options;
};

} // namespace endivehinge

#endif

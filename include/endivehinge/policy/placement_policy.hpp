#ifndef ENDIVEHINGE_POLICY_PLACEMENT_POLICY_HPP
#define ENDIVEHINGE_POLICY_PLACEMENT_POLICY_HPP

#include <cstddef>  // size_t
#include <optional> // optional
#include <vector>   // vector

#include <absl/random/bit_gen_ref.h> // BitGenRef

#include <endivehinge/core/clock.hpp>
#include <endivehinge/policy/placement_candidate.hpp>

namespace endivehinge
{

/// @brief chooses the target of a request; pure, so that a test replays it
class placement_policy
{
public:
    placement_policy() = default;
    placement_policy(placement_policy const &) = delete;
    placement_policy & operator=(placement_policy const &) = delete;
    virtual ~placement_policy() = default;

    /// @brief chooses one of the candidates
    /// @param candidates those not yet tried for this request; nearest first:
    /// the local one, those of the same failure domain, the rest
    /// @param now the time of the decision
    /// @param random where the policy draws from
    /// @return its index; nothing where there are no candidates
    /// @note thread safety: any thread; a policy keeps no state
    [[nodiscard]] virtual std::optional<std::size_t>
    choose(std::vector<placement_candidate> const & candidates,
           time_point now,
           absl::BitGenRef random) const = 0;
};

} // namespace endivehinge

#endif

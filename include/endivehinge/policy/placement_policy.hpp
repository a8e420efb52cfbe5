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

/// @brief chooses the target of a request
/// @note pure, so that tests can reproduce its decisions
class placement_policy
{
public:
    placement_policy() = default;
    placement_policy(placement_policy const &) = delete;
    placement_policy & operator=(placement_policy const &) = delete;
    virtual ~placement_policy() = default;

    /// @brief chooses one of the candidates
    /// @param candidates targets not yet tried for this request, in the order
    /// local target, same failure domain, other failure domains
    /// @param now the time of the decision
    /// @param random the source of random numbers
    /// @return the index of the chosen candidate; no value if there is none
    /// @note thread safety: any thread; a policy keeps no state
    [[nodiscard]] virtual std::optional<std::size_t>
    choose(std::vector<placement_candidate> const & candidates,
           time_point now,
           absl::BitGenRef random) const = 0;
};

} // namespace endivehinge

#endif

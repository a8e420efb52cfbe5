#ifndef ENDIVEHINGE_POLICY_PLACEMENT_POLICY_HPP
#define ENDIVEHINGE_POLICY_PLACEMENT_POLICY_HPP

#include <cstddef>  // size_t
#include <optional> // optional
#include <vector>   // vector

#include <absl/random/bit_gen_ref.h> // BitGenRef

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/ids.hpp>
#include <endivehinge/policy/load_signal.hpp>

namespace endivehinge
{

/// @brief a target that a request may be placed on, as the picker sees it
struct placement_candidate
{
    node_name node;
    bool local = false;
    bool same_domain = false;
    // no value: nothing recent is known, which does not mean idle
    std::optional<load_signal> signal;
    // own requests sent since the signal was taken
    double sent_since_signal = 0;
    // own requests without an answer yet
    double own_in_flight = 0;
};

/// @brief chooses the target of a request; pure, so that a test replays it
class placement_policy
{
public:
    placement_policy() = default;
    placement_policy(placement_policy const &) = delete;
    placement_policy & operator=(placement_policy const &) = delete;
    virtual ~placement_policy() = default;

    /// @brief chooses one of the candidates
    /// @param candidates those not yet tried for this request
    /// @param now the time of the decision
    /// @param random where the policy draws from
    /// @return its index; nothing where there are no candidates
    /// @note thread safety: any thread; a policy keeps no state
    [[nodiscard]] virtual std::optional<std::size_t>
    choose(std::vector<placement_candidate> const & candidates,
           time_point now,
           absl::BitGenRef random) const = 0;
};

/// @brief two random candidates, the one with fewer own requests in flight
class two_choices_policy final : public placement_policy
{
public:
    [[nodiscard]] std::optional<std::size_t>
    choose(std::vector<placement_candidate> const & candidates,
           time_point now,
           absl::BitGenRef random) const override;
};

} // namespace endivehinge

#endif

#ifndef ENDIVEHINGE_POLICY_ALLOTMENT_TIMING_HPP
#define ENDIVEHINGE_POLICY_ALLOTMENT_TIMING_HPP

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief durations that the owner of an account and the holders of its tokens
/// and rate rights have to agree on
struct allotment_timing
{
    // from the ask until its tokens expire. Those in use in a window of 5 s
    // were granted in 5.5 s: the 10 % that the bound tolerates
    static constexpr duration token_lifetime = std::chrono::milliseconds(500);
    // from the last contact until a holder uses its right and the owner deducts
    // it. Equal to the token lifetime: tokens of the last contact have expired
    // when the right begins, so that a holder never uses both
    static constexpr duration silence_limit = std::chrono::milliseconds(500);
    // covers the restart of an owner (2 to 4 s) or the removal of its entry
    static constexpr duration right_validity = std::chrono::seconds(6);
    // a right that was accrued but not used expires like a token
    static constexpr duration accrual_limit = token_lifetime;
    // tokens per second. A smaller right would need a bucket of more than its
    // accrual limit to yield a whole token, which exceeds the bound
    static constexpr double smallest_right = 2;
};

} // namespace endivehinge

#endif

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
    // between the owner's last promise that no right exists and the first
    // right. A next owner knows all rights at once as long as any node has such
    // a promise, so that it has to be longer than the mean time between the
    // requests of most accounts
    static constexpr duration rights_hold = std::chrono::seconds(3);
    // from the start of a node until no other node acts as the owner of its
    // accounts: the validity of the last proof that it has ended, and the time
    // until its process listens
    static constexpr duration takeover_time = std::chrono::seconds(1);
    // tokens per second. A smaller right would need a bucket of more than its
    // accrual limit to yield a whole token, which exceeds the bound
    static constexpr double smallest_right = 2;
};

} // namespace endivehinge

#endif

#ifndef ENDIVEHINGE_POLICY_ALLOTMENT_TIMING_HPP
#define ENDIVEHINGE_POLICY_ALLOTMENT_TIMING_HPP

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief durations that owners of accounts, voters and holders of tokens have
/// to agree on
struct allotment_timing
{
    // from the ask until its tokens expire. Those in use in a window of 5 s
    // were granted in 5.5 s: the 10 % that the bound tolerates
    static constexpr duration token_lifetime = std::chrono::milliseconds(500);
    // from the request for a vote until it ends. An account whose owner is gone
    // without a word is refused for so long; several times the pauses of an
    // event loop that has a tenth of a core
    static constexpr duration vote_validity = std::chrono::milliseconds(1200);
    // a vote that ends sooner is renewed; leaves time for one more attempt
    static constexpr duration vote_renewal = std::chrono::milliseconds(400);
};

} // namespace endivehinge

#endif

#ifndef ENDIVEHINGE_POLICY_ALLOTMENT_VERDICT_HPP
#define ENDIVEHINGE_POLICY_ALLOTMENT_VERDICT_HPP

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief whether a request may run as far as its account's allotment goes
enum class allotment_outcome
{
    granted,    // the request has a token
    exhausted,  // the account is beyond its allotment
    no_contact, // no owner is reached
};

/// @brief the decision on one request
struct allotment_verdict
{
    allotment_outcome outcome = allotment_outcome::granted;
    // if not granted: when the client may come again
    duration retry_after{0};
    // if granted: when the token expires; on the clock of the decision
    time_point token_expires;
};

} // namespace endivehinge

#endif

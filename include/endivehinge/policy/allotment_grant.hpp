#ifndef ENDIVEHINGE_POLICY_ALLOTMENT_GRANT_HPP
#define ENDIVEHINGE_POLICY_ALLOTMENT_GRANT_HPP

#include <cstdint> // uint32_t, uint64_t

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief the owner's answer to an allotment_ask
struct allotment_grant
{
    // that of the ask
    std::uint64_t sequence = 0;
    // whether the node that answers is the owner; if not, nothing is granted
    bool from_owner = false;
    std::uint32_t tokens = 0;
    // tokens per second that the node may use without contact
    double right = 0;
    // if fewer tokens than needed were granted: time until the next one
    duration next_token{0};
    // the owner does not know all rights yet, so that a lack of tokens does not
    // mean that the account is exhausted
    bool recovering = false;
    // no right of the account exists, and the owner issues none for so long
    duration rights_free{0};
};

} // namespace endivehinge

#endif

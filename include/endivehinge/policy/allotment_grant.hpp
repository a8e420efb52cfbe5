#ifndef ENDIVEHINGE_POLICY_ALLOTMENT_GRANT_HPP
#define ENDIVEHINGE_POLICY_ALLOTMENT_GRANT_HPP

#include <cstdint>  // uint32_t, uint64_t
#include <optional> // optional

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/ids.hpp>

namespace endivehinge
{

/// @brief the answer to an allotment_ask
struct allotment_grant
{
    // that of the ask
    std::uint64_t sequence = 0;
    // whether the node that answers is the owner
    bool from_owner = false;
    // of another node than the owner: tokens that it has in stock, since the
    // asking node does not reach the owner
    std::uint32_t tokens = 0;
    // from the answer until the tokens expire; 0: the whole token lifetime,
    // from the ask
    duration remaining{0};
    // if fewer tokens than needed were granted: time until the next one, or
    // until there may be an owner
    duration next_token{0};
    // not from the owner: the owner, as far as the node knows
    std::optional<node_name> owner;
    // fewer tokens than needed, because the owner is new and does not know what
    // the last one granted: the account may be within its allotment
    bool is_filling = false;
};

} // namespace endivehinge

#endif

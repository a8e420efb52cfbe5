#ifndef ENDIVEHINGE_POLICY_ALLOTMENT_CLAIM_HPP
#define ENDIVEHINGE_POLICY_ALLOTMENT_CLAIM_HPP

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief the right to tokens of one account that a node holds
struct allotment_claim
{
    // whether the node, too, takes the node that asked for the owner
    bool agrees = false;
    // tokens per second; 0: none
    double right = 0;
    // until the node may use it
    duration begins{0};
    // until it expires
    duration remaining{0};
    // for so long, as the last owner promised, no right of the account exists
    duration rights_free{0};
};

} // namespace endivehinge

#endif

#ifndef ENDIVEHINGE_POLICY_WEIGHTED_ACCOUNT_HPP
#define ENDIVEHINGE_POLICY_WEIGHTED_ACCOUNT_HPP

#include <endivehinge/core/ids.hpp>

namespace endivehinge
{

/// @brief the client account of a request and its part of scarce capacity
struct weighted_account
{
    // empty if the request has no account
    account_name name;
    // relative to the weights of other accounts; above 0
    double weight = 1;
};

} // namespace endivehinge

#endif

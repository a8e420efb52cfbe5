#ifndef ENDIVEHINGE_POLICY_ALLOTMENT_LIMITS_HPP
#define ENDIVEHINGE_POLICY_ALLOTMENT_LIMITS_HPP

#include <endivehinge/policy/client_account.hpp>

namespace endivehinge
{

/// @brief the allotment of one account over all nodes
struct allotment_limits
{
    // tokens per second; above 0
    double rate = 0;
    // tokens that may be granted at once; at least 1
    double burst = 1;

    /// @pre the account has a limit
    [[nodiscard]] static allotment_limits of(client_account const & account)
    {
        return {account.requests_per_second,
                account.burst < 1 ? 1 : account.burst};
    }

    friend bool operator==(allotment_limits const & a,
                           allotment_limits const & b)
    {
        return a.rate == b.rate && a.burst == b.burst;
    }
};

} // namespace endivehinge

#endif

#ifndef ENDIVEHINGE_POLICY_TRANSFER_BUDGET_HPP
#define ENDIVEHINGE_POLICY_TRANSFER_BUDGET_HPP

#include <cstddef> // size_t

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief limits the bytes that a node sends to those that replicate from it
///
/// Handles a configuration that has grown long: all nodes of a failure domain
/// request it from one node at the same time. Without a limit, its link and its
/// processor are busy for seconds, none of them gets a response in time, and
/// the requests of clients at that node wait as well.
/// @note pure; not thread-safe, the owner serialises all calls
class transfer_budget
{
public:
    /// @brief takes the bytes of a response from the budget
    /// @return whether it may be sent; always true for a small one
    [[nodiscard]] bool try_spend(std::size_t bytes, time_point now);

private:
    double available = 0;
    time_point last_refill;
};

} // namespace endivehinge

#endif

#ifndef ENDIVEHINGE_POLICY_HEDGE_LIMIT_HPP
#define ENDIVEHINGE_POLICY_HEDGE_LIMIT_HPP

namespace endivehinge
{

/// @brief why a request is not sent a second time
enum class hedge_limit
{
    none,
    share,          // the share of hedged requests is used up
    not_repeatable, // the request may run at most once
    short_target,   // the latency target is shorter than the minimum
    time_left,      // a second run would end after the deadline
    overload,       // the service lacks capacity
    no_room,        // no other target is known to have capacity
    retry_budget,   // the retry budget or the attempts are used up
    allotment,      // the account would need a second token
};

/// @brief the name of a limit in metrics; stable across versions
[[nodiscard]] char const * to_string(hedge_limit limit);

} // namespace endivehinge

#endif

#ifndef ENDIVEHINGE_POLICY_ATTEMPT_REPORT_HPP
#define ENDIVEHINGE_POLICY_ATTEMPT_REPORT_HPP

#include <optional> // optional

#include <endivehinge/core/clock.hpp>
#include <endivehinge/policy/load_signal.hpp>

namespace endivehinge
{

/// @brief how a request that was sent to a node ended, as evidence of load
struct attempt_report
{
    enum class result
    {
        answered,
        refused, // did not run; says nothing of the target's speed
        failed,  // connection lost, or an answer that says it is broken
        abandoned,
    };

    result ended = result::answered;
    time_point sent_at;
    // the signal that came with the answer
    std::optional<load_signal> signal;
    // how long the other node says that it had the request
    std::optional<duration> time_at_node;
};

} // namespace endivehinge

#endif

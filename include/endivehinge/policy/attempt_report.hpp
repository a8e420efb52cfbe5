#ifndef ENDIVEHINGE_POLICY_ATTEMPT_REPORT_HPP
#define ENDIVEHINGE_POLICY_ATTEMPT_REPORT_HPP

#include <optional> // optional

#include <endivehinge/core/clock.hpp>
#include <endivehinge/policy/load_signal.hpp>

namespace endivehinge
{

/// @brief how a request sent to another node ended, as input for load estimates
struct attempt_report
{
    enum class result
    {
        answered,
        refused,   // did not run, which says nothing about the target's speed
        failed,    // connection lost, or a response that reports a fault
        abandoned, // the caller gave up
    };

    result ended = result::answered;
    time_point sent_at;
    // load signal received with the response
    std::optional<load_signal> signal;
    // time that the request spent at the other node, as reported by it
    std::optional<duration> time_at_node;
};

} // namespace endivehinge

#endif

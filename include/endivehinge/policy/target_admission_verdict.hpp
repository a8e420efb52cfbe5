#ifndef ENDIVEHINGE_POLICY_TARGET_ADMISSION_VERDICT_HPP
#define ENDIVEHINGE_POLICY_TARGET_ADMISSION_VERDICT_HPP

#include <cstdint> // uint64_t

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/strong_type.hpp>

namespace endivehinge
{

/// @brief identifies a request within one target_admission_policy
using admission_ticket =
    strong_type<struct admission_ticket_tag, std::uint64_t>;

/// @brief why a request was refused
enum class admission_refusal
{
    none,
    closed,   // the target is draining, evacuated or unknown
    cold,     // the rate limit of the cold target is reached
    busy,     // no response in time is expected, or the queue is full
    slow,     // the target is slow; another target may be faster
    too_late, // the request cannot finish before its deadline
    // the target is another incarnation than the one that was addressed
    other_incarnation,
    crashing, // the request crashes its targets
    limited,  // the rate that the target states is used up
};

/// @brief the admission decision on one request
struct target_admission_verdict
{
    enum class action
    {
        start,
        wait,
        refuse,
    };

    admission_ticket ticket;
    action decision = action::refuse;
    admission_refusal reason = admission_refusal::none;
    // expected time until the target has capacity
    duration retry_after{0};
    // whether the request was refused for lack of capacity after its account
    // had used its share
    bool share_used = false;
};

/// @brief the name of a reason in refusals and logs; stable across versions
[[nodiscard]] char const * to_string(admission_refusal reason);

} // namespace endivehinge

#endif

#ifndef ENDIVEHINGE_POLICY_TARGET_ADMISSION_VERDICT_HPP
#define ENDIVEHINGE_POLICY_TARGET_ADMISSION_VERDICT_HPP

#include <cstdint> // uint64_t

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/strong_type.hpp>

namespace endivehinge
{

/// @brief one request at a gate
using admission_ticket = strong_type<struct gate_ticket_tag, std::uint64_t>;

/// @brief why a gate does not run a request
enum class admission_refusal
{
    none,
    closed,            // the target drains, is evacuated or is not known
    cold,              // the target bears no more in this second
    busy,              // it would not be answered in time
    slow,              // the target is slow now, and another may not be
    too_late,          // no time is left
    other_incarnation, // the target is another run than the one addressed
};

/// @brief what a gate decides on a request
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
    // when room is expected
    duration retry_after{0};
};

/// @brief the stable name of a reason, as refusals and logs print it
[[nodiscard]] char const * to_string(admission_refusal reason);

} // namespace endivehinge

#endif

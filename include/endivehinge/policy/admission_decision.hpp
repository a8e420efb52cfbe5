#ifndef ENDIVEHINGE_POLICY_ADMISSION_DECISION_HPP
#define ENDIVEHINGE_POLICY_ADMISSION_DECISION_HPP

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/failure.hpp>

namespace endivehinge
{

/// @brief what becomes of a ticket now
enum class admission_verdict
{
    admitted, // start it at once
    queued,   // wait until take_ready names it
    refused,  // it did not run and will not
};

/// @brief a verdict, with its reason where refused
struct admission_decision
{
    admission_verdict verdict = admission_verdict::refused;
    failure_id reason = failure_id::none;
    // when the caller may come back
    duration retry_after{0};
};

} // namespace endivehinge

#endif

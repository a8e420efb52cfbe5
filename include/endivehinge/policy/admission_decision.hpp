#ifndef ENDIVEHINGE_POLICY_ADMISSION_DECISION_HPP
#define ENDIVEHINGE_POLICY_ADMISSION_DECISION_HPP

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/failure.hpp>

namespace endivehinge
{

/// @brief the result of an admission decision
enum class admission_verdict
{
    admitted, // start the request at once
    queued,   // wait until take_ready returns it
    refused,  // the request did not run and will not
};

/// @brief a verdict and, if refused, the reason
struct admission_decision
{
    admission_verdict verdict = admission_verdict::refused;
    failure_id reason = failure_id::none;
    // how long the caller should wait before a retry
    duration retry_after{0};
};

} // namespace endivehinge

#endif

#ifndef ENDIVEHINGE_DETAIL_GATEWAY_DISPATCH_RESULT_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_DISPATCH_RESULT_HPP

#include <optional> // optional
#include <string>   // string

#include <endivehinge/core/clock.hpp>
#include <endivehinge/detail/gateway/http_types.hpp>
#include <endivehinge/policy/target_admission_verdict.hpp>
#include <endivehinge/policy/target_load.hpp>

namespace endivehinge::detail
{

/// @brief what became of a request at one target
enum class dispatch_outcome
{
    answered,      // the target responded
    refused,       // it did not run and never will
    indeterminate, // it may have run
};

/// @brief the result of running a request on one target
struct dispatch_result
{
    dispatch_outcome outcome = dispatch_outcome::refused;
    // where answered
    response_message response;
    // the target's service produced the response
    bool from_service = false;
    // why there is no answer
    std::string reason;
    // where the gate beside the target refused it
    admission_refusal refusal = admission_refusal::none;
    // where refused: when room is expected
    duration retry_after{0};
    // the request arrived at the target, which counts as an arrival there
    bool reached_target = false;
    // the load of the target now
    std::optional<target_load> load;
    // time in the queue and at the target
    duration waited{0};
    duration ran{0};
};

} // namespace endivehinge::detail

#endif

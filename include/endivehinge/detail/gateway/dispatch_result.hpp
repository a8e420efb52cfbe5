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

/// @brief outcome of one attempt to run a request on a target
enum class dispatch_outcome
{
    answered,      // the target responded
    refused,       // the request did not run and never will
    indeterminate, // the request may have run
};

/// @brief result of one attempt to run a request on a target
struct dispatch_result
{
    dispatch_outcome outcome = dispatch_outcome::refused;
    // set if outcome is answered
    response_message response;
    // whether the target's service produced the response
    bool from_service = false;
    // why there is no response
    std::string reason;
    // reason if the target's admission control refused the request
    admission_refusal refusal = admission_refusal::none;
    // if refused: expected time until the target has capacity
    duration retry_after{0};
    // if refused for lack of capacity: whether the request's account had used
    // its share of the target
    bool share_used = false;
    // whether the request reached the target and counts as an attempt there
    bool reached_target = false;
    // whether the target crashed during the request, as far as its node knows
    bool target_crashed = false;
    // load of the target at the time of the result
    std::optional<target_load> load;
    duration queue_time{0};
    duration run_time{0};
};

} // namespace endivehinge::detail

#endif

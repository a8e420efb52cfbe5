#ifndef ENDIVEHINGE_DETAIL_GATEWAY_DISPATCH_REQUEST_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_DISPATCH_REQUEST_HPP

#include <string> // string

#include <endivehinge/core/ids.hpp>
#include <endivehinge/detail/gateway/http_types.hpp>
#include <endivehinge/policy/request_urgency.hpp>
#include <endivehinge/policy/slow_target_action.hpp>

namespace endivehinge::detail
{

/// @brief a request that is to run on one target
struct dispatch_request
{
    request_message message;
    // as the client sent it
    std::string id;
    // this one way to a target, unique over all nodes; set for a hop
    std::string in_flight_id;
    // the run of the target that was chosen
    target_id target;
    // requests of one route take about the same time
    std::string route;
    // the service beside which the request began
    service_name caller;
    request_urgency urgency;
    // may run more than once
    bool idempotent = false;
    slow_target_action slow_target = slow_target_action::start_or_refuse;
};

} // namespace endivehinge::detail

#endif

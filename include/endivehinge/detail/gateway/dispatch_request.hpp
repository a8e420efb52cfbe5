#ifndef ENDIVEHINGE_DETAIL_GATEWAY_DISPATCH_REQUEST_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_DISPATCH_REQUEST_HPP

#include <cstdint>  // uint64_t
#include <optional> // optional
#include <string>   // string

#include <endivehinge/core/ids.hpp>
#include <endivehinge/detail/gateway/http_types.hpp>
#include <endivehinge/policy/request_urgency.hpp>
#include <endivehinge/policy/slow_target_action.hpp>

namespace endivehinge::detail
{

/// @brief request to run on one target
struct dispatch_request
{
    request_message message;
    // request ID as sent by the client
    std::string id;
    // unique across all nodes; set when the request is sent to another node
    std::string in_flight_id;
    // incarnation of the selected target
    target_id target;
    // service of the selected target; empty if the sender does not state it
    service_name service;
    // route name; requests of one route have similar run times
    std::string route;
    // service of the node that received the request from its client
    service_name caller;
    // the client account of the request; empty if it has none
    account_name account;
    // the key of the account that the client sent
    std::optional<account_key_digest> account_key;
    // version of the configuration in which the key was found, or a later one
    std::uint64_t account_version = 0;
    request_urgency urgency;
    // whether running the request more than once is safe
    bool idempotent = false;
    // the rate that the target stated last, as far as the sender knows;
    // requests per second
    std::optional<double> stated_rate;
    // whether a target crashed while it ran the request
    bool suspect = false;
    // a second attempt beside one in progress; refused unless it can start at
    // once
    bool hedge = false;
    slow_target_action slow_action = slow_target_action::start_or_refuse;
};

} // namespace endivehinge::detail

#endif

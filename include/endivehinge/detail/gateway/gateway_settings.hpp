#ifndef ENDIVEHINGE_DETAIL_GATEWAY_GATEWAY_SETTINGS_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_GATEWAY_SETTINGS_HPP

#include <optional> // optional
#include <vector>   // vector

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/endpoint.hpp>
#include <endivehinge/core/ids.hpp>
#include <endivehinge/policy/cold_rate_bound.hpp>

namespace endivehinge::detail
{

/// @brief limits on stopping, retries and cold targets that the operators
/// configure
struct service_bounds
{
    // time from the stop signal until the platform kills the process
    duration stop_grace = std::chrono::seconds(6);
    // retries that a service may receive, as a share of its requests
    double retry_share = 0.2;
    // retries beyond the share in one window, over all nodes together
    double retry_burst = 0;
    duration retry_window = std::chrono::seconds(10);
    cold_rate_bound cold_rate;
};

/// @brief limits on the use of client accounts that the operators configure
struct account_bounds
{
    // window in which the requests of an account are counted
    duration window = std::chrono::seconds(5);
    // tolerated excess over the allotment in one window, as a share of it
    double overage_share = 0;
    // tolerated requests beyond that in one window
    double overage_slack = 0;
    // whether a node without recent contact to the store refuses all keys
    bool strict_revocation = false;
    // time from the withdrawal of a key until no node accepts it
    duration revocation_delay = std::chrono::seconds(5);
};

/// @brief limits on the exposure of a version on trial
struct rollout_bounds
{
    // share of a service's requests that the version may receive
    double exposed_share = 0;
    // requests that it may receive beyond the share
    double exposed_slack = 0;
    // time from the evidence of a fault until no request is sent to the version
    duration rollback_delay = std::chrono::seconds(5);
};

/// @brief the settings of one gateway process
struct gateway_settings
{
    node_name node;
    failure_domain domain;
    // the service of the target beside this node
    service_name service;
    endpoint target_address;
    // receives requests of clients and of the target beside this node
    endpoint client_listener;
    // receives requests of other nodes
    endpoint peer_listener;
    // receives the platform's readiness probes
    endpoint readiness_listener;
    // receives the target's status reports
    endpoint report_listener;
    std::optional<endpoint> metrics_listener;
    endpoint store;
    // report listeners of a few nodes; may be stale
    std::vector<endpoint> seeds;
    // whether the whole fleet starts for the first time
    bool first_start = false;
    service_bounds bounds;
    account_bounds accounts;
    // no roll-outs if empty
    std::optional<rollout_bounds> rollouts;
    // part of this node's requests that may be sent to a second target while
    // the first one runs; 0: none
    double hedge_share = 0;
    // requests of routes with a shorter latency target are sent once
    duration hedge_min_target = std::chrono::milliseconds(500);
    // time from the confirmation of a change until it is in force everywhere
    duration configuration_delay = std::chrono::milliseconds(2500);
    // memory that the process may use, in bytes; beyond it the platform kills
    // the process
    std::size_t memory_limit = std::size_t{256} * 1024 * 1024;
    // file descriptors that the process may open
    std::size_t descriptor_limit = 4096;
};

} // namespace endivehinge::detail

#endif

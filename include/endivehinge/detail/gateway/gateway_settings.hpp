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
    // memory that the process may use, in bytes; beyond it the platform kills
    // the process
    std::size_t memory_limit = std::size_t{256} * 1024 * 1024;
};

} // namespace endivehinge::detail

#endif

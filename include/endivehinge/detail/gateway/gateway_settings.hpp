#ifndef ENDIVEHINGE_DETAIL_GATEWAY_GATEWAY_SETTINGS_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_GATEWAY_SETTINGS_HPP

#include <optional> // optional
#include <vector>   // vector

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/endpoint.hpp>
#include <endivehinge/core/ids.hpp>

namespace endivehinge::detail
{

/// @brief promises to the operators that bound the gateway's timing
struct service_bounds
{
    // after a signal to stop the process is killed at the end of this time
    duration stop_grace = std::chrono::seconds(6);
    // repeated requests, as a share of requests, that a service may receive
    double retry_share = 0.2;
    // repeated requests beyond the share in one window, all nodes together
    double retry_burst = 0;
    duration retry_window = std::chrono::seconds(10);
};

/// @brief the settings of one gateway process
struct gateway_settings
{
    node_name node;
    failure_domain domain;
    // the service of the target beside this node
    service_name service;
    endpoint target_address;
    // clients and the target beside this node
    endpoint client_listener;
    // other nodes
    endpoint peer_listener;
    // the platform asks here whether this node takes clients
    endpoint readiness_listener;
    // the target reports here
    endpoint report_listener;
    std::optional<endpoint> metrics_listener;
    endpoint store;
    // report listeners of a few nodes; may be stale
    std::vector<endpoint> seeds;
    service_bounds bounds;
};

} // namespace endivehinge::detail

#endif

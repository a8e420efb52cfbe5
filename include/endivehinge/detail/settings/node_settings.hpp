#ifndef ENDIVEHINGE_DETAIL_SETTINGS_NODE_SETTINGS_HPP
#define ENDIVEHINGE_DETAIL_SETTINGS_NODE_SETTINGS_HPP

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/endpoint.hpp>
#include <endivehinge/core/ids.hpp>

namespace endivehinge::detail
{

/// @brief the settings of one node, as its YAML file gives them
struct node_settings
{
    node_name name;
    failure_domain domain;
    region_name region;
    service_name service;
    endpoint ingress;  // callers, and the target's own calls
    endpoint peers;    // requests from other nodes
    endpoint control;  // coordination: gRPC on TCP, membership on UDP
    endpoint admin;    // announcements, status, metrics
    endpoint platform; // the object API
    duration shutdown_deadline = std::chrono::seconds(30);
};

} // namespace endivehinge::detail

#endif

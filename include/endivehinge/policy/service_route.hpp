#ifndef ENDIVEHINGE_POLICY_SERVICE_ROUTE_HPP
#define ENDIVEHINGE_POLICY_SERVICE_ROUTE_HPP

#include <cstdint> // uint32_t
#include <string>  // string
#include <vector>  // vector

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/ids.hpp>

namespace endivehinge
{

/// @brief a service and its share of a route's requests
struct weighted_service
{
    service_name service;
    // relative to the sum of the weights of the route's parts
    double weight = 1;
};

/// @brief which requests go to which service, and how they may be treated
struct service_route
{
    std::string name;
    std::string host;
    // begins and ends with a slash
    std::string path_prefix;
    // at least one
    std::vector<weighted_service> parts;
    // may run more than once
    bool idempotent = false;
    // the longest time that a request may wait for its response
    duration timeout{0};
    // a response after this time is worth less to the caller
    duration latency_target{0};
    // 0 is the most urgent
    std::uint32_t rank = 0;
    // targets on which one request may run
    std::uint32_t attempts = 1;
};

} // namespace endivehinge

#endif

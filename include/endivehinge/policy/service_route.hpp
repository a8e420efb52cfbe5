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
    // relative to the sum of the weights of the route's services
    double weight = 1;
};

/// @brief maps requests to services, with the rules for their handling
struct service_route
{
    std::string name;
    std::string host;
    // begins and ends with a slash
    std::string path_prefix;
    // services that share the traffic; at least one
    std::vector<weighted_service> parts;
    // requests may run more than once
    bool idempotent = false;
    // maximum time from a request to its response
    duration timeout{0};
    // latency objective; later responses are worth less to the caller
    duration latency_target{0};
    // priority; 0 is the most urgent
    std::uint32_t rank = 0;
    // maximum number of targets on which one request may run
    std::uint32_t attempts = 1;
    // requests need no key of a client account
    bool is_public = false;
    // of the name and the text that the route was read from; 0: unknown
    std::uint64_t source_digest = 0;
};

} // namespace endivehinge

#endif

#ifndef ENDIVEHINGE_POLICY_TRAFFIC_SPLITTER_HPP
#define ENDIVEHINGE_POLICY_TRAFFIC_SPLITTER_HPP

#include <string> // string
#include <vector> // vector

#include <absl/container/flat_hash_map.h> // flat_hash_map

#include <endivehinge/policy/service_route.hpp>

namespace endivehinge
{

/// @brief splits the requests of a route among services by weight
///
/// Smooth weighted round robin: after any number of requests, each service is
/// within one request of its exact share.
/// @note pure; not thread-safe, the owner serialises all calls
class traffic_splitter
{
public:
    /// @brief selects the service for the next request of a route
    /// @pre the route has at least one part
    /// @param initial_phase start of a new route within the cycle, 0 to 1;
    /// differs between nodes so that they do not select the same service in
    /// lockstep
    [[nodiscard]] service_name choose(service_route const & route,
                                      double initial_phase);

    /// @brief discards the state of all routes that are not in the list
    void retain(std::vector<service_route> const & routes);

private:
    struct route_state
    {
        std::vector<weighted_service> parts;
        std::vector<double> credit;
    };

    absl::flat_hash_map<std::string, route_state> states;
};

} // namespace endivehinge

#endif

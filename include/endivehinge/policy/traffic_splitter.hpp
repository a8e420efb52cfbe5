#ifndef ENDIVEHINGE_POLICY_TRAFFIC_SPLITTER_HPP
#define ENDIVEHINGE_POLICY_TRAFFIC_SPLITTER_HPP

#include <string> // string
#include <vector> // vector

#include <absl/container/flat_hash_map.h> // flat_hash_map

#include <endivehinge/policy/service_route.hpp>

namespace endivehinge
{

/// @brief divides a route's requests among its parts in exact proportion
///
/// Smooth weighted round robin: after any number of requests each part is
/// within one request of its share.
/// @note pure; thread safety: none, the owner serialises
class traffic_splitter
{
public:
    /// @brief the service of the next request of a route
    /// @pre the route has a part
    /// @param phase where a route that is new begins, 0 to 1, so that nodes
    /// do not choose the same part at the same time
    [[nodiscard]] service_name choose(service_route const & route,
                                      double phase);

    /// @brief forgets the routes that a configuration no longer has
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

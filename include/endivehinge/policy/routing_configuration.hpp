#ifndef ENDIVEHINGE_POLICY_ROUTING_CONFIGURATION_HPP
#define ENDIVEHINGE_POLICY_ROUTING_CONFIGURATION_HPP

#include <cstdint>     // uint64_t
#include <string_view> // string_view
#include <vector>      // vector

#include <endivehinge/policy/client_account.hpp>
#include <endivehinge/policy/client_limits.hpp>
#include <endivehinge/policy/service_properties.hpp>
#include <endivehinge/policy/service_route.hpp>

namespace endivehinge
{

/// @brief one version of the routes and services set by the operators
/// @note thread safety: const members from any thread
class routing_configuration
{
public:
    std::uint64_t version = 0;
    std::vector<service_route> routes;
    std::vector<service_properties> services;
    client_limits limits;
    // if not empty, requests need the key of an account, unless their route is
    // public
    std::vector<client_account> accounts;

    /// @brief finds the route of the host with the longest matching path prefix
    /// @param host without a port
    /// @param path a path, optionally with a query, which is ignored
    /// @return null if no route matches
    [[nodiscard]] service_route const * find_route(std::string_view host,
                                                   std::string_view path) const;

    /// @return null if this version does not contain the service
    [[nodiscard]] service_properties const *
    find_service(service_name const & name) const;
};

} // namespace endivehinge

#endif

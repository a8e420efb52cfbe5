#ifndef ENDIVEHINGE_POLICY_SERVICE_PROPERTIES_HPP
#define ENDIVEHINGE_POLICY_SERVICE_PROPERTIES_HPP

#include <cstdint> // uint32_t
#include <string>  // string

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/ids.hpp>

namespace endivehinge
{

/// @brief what the operators state of a service's targets
struct service_properties
{
    service_name name;
    std::string health_path;
    // connections that one target accepts from all callers together
    std::uint32_t max_connections = 0;
    // how long a target is slow after its start
    duration cold_start_duration{0};
    // requests a second that a cold target bears; 0: no bound is stated
    double cold_requests_per_second = 0;
};

} // namespace endivehinge

#endif

#ifndef ENDIVEHINGE_TOOLS_DEMO_DEPLOYMENT_PLAN_HPP
#define ENDIVEHINGE_TOOLS_DEMO_DEPLOYMENT_PLAN_HPP

#include <cstdint>  // uint64_t
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

#include <common/call_plan.hpp>
#include <common/local_deployment.hpp>

namespace endivehinge::demo
{

/// @brief one user's deployment: its instances and its callers' load
struct deployment_plan
{
    std::string name;
    std::vector<tools::instance_plan> instances;
    std::vector<tools::call_kind> load;
    // the instances and the failure domain that the faults hit
    std::string straggler;
    std::string killed;
    std::string behind_relay;
    std::string drained_domain;
};

/// @brief the Directorate's deployment at the sizes of its letter
/// @param seed of the targets' service times
/// @note pure
[[nodiscard]] deployment_plan make_directorate(std::uint64_t seed);

/// @brief the Trust's deployment at the sizes of its letter
/// @param seed of the targets' service times
/// @note pure
[[nodiscard]] deployment_plan make_trust(std::uint64_t seed);

} // namespace endivehinge::demo

#endif

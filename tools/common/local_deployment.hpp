#ifndef ENDIVEHINGE_TOOLS_COMMON_LOCAL_DEPLOYMENT_HPP
#define ENDIVEHINGE_TOOLS_COMMON_LOCAL_DEPLOYMENT_HPP

#include <memory> // unique_ptr
#include <string> // string
#include <vector> // vector

#include <common/child_process.hpp>
#include <endivehinge/core/endpoint.hpp>

namespace endivehinge::tools
{

/// @brief one target and the node beside it
struct instance_plan
{
    std::string name;
    std::string service;
    std::string failure_domain;
    // further arguments of the target stand-in
    std::vector<std::string> target_arguments;
};

/// @brief the processes of one instance
struct running_instance
{
    instance_plan plan;
    std::unique_ptr<child_process> node;
    std::unique_ptr<child_process> target;
};

/// @brief a platform stand-in and instances, as processes on loopback
/// @note thread safety: one thread
class local_deployment
{
public:
    /// @param binaries the folder of the programs
    /// @param work an empty folder for settings and logs
    local_deployment(std::string binaries, std::string work);

    /// @brief starts the platform with the operators' configuration
    [[nodiscard]] bool start_platform(std::string const & configuration,
                                      failure & reason);

    /// @brief starts a node and the target beside it
    [[nodiscard]] bool start_instance(instance_plan const & plan,
                                      failure & reason);

    /// @brief waits until every node places requests on all instances
    [[nodiscard]] bool wait_until_joined(absl::Duration patience);

    /// @brief where callers reach a node
    [[nodiscard]] endpoint ingress(std::size_t index) const;

    /// @brief the processes of an instance
    [[nodiscard]] running_instance & instance(std::size_t index);

    /// @brief how many instances there are
    [[nodiscard]] std::size_t size() const;

    /// @brief the platform
    [[nodiscard]] child_process & platform();

    /// @brief where the platform is reached
    [[nodiscard]] endpoint platform_address() const;

private:
    std::string write_settings(instance_plan const & plan) const;
    bool has_joined(running_instance const & candidate) const;

    std::string binaries;
    std::string work;
    std::unique_ptr<child_process> store;
    std::vector<running_instance> instances;
};

} // namespace endivehinge::tools

#endif

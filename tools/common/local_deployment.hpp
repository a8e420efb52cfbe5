#ifndef ENDIVEHINGE_TOOLS_COMMON_LOCAL_DEPLOYMENT_HPP
#define ENDIVEHINGE_TOOLS_COMMON_LOCAL_DEPLOYMENT_HPP

#include <memory>   // unique_ptr
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

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
    // whether a relay stands between the node and its target
    bool target_behind_relay = false;
};

/// @brief the processes of one instance
struct running_instance
{
    instance_plan plan;
    std::unique_ptr<child_process> node;
    std::unique_ptr<child_process> target;
    // between the node and the target; null: none
    std::unique_ptr<child_process> relay;
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

    /// @brief where the targets that start from now on write their records
    /// @param path one file for all; each line is one write
    void write_history(std::string const & path);

    /// @brief how the nodes that start from now on reach the platform
    /// @param relay a relay that leads to it
    void reach_platform_through(endpoint const & relay);

    /// @brief starts a relay; it is ended with the deployment
    /// @param to where its connections go on to; may be set later
    /// @return the relay, or null
    [[nodiscard]] child_process * start_relay(std::string const & to,
                                              failure & reason);

    /// @brief starts a node and the target beside it
    [[nodiscard]] bool start_instance(instance_plan const & plan,
                                      failure & reason);

    /// @brief starts a new run of a target that has ended, beside its node
    [[nodiscard]] bool restart_target(std::size_t index, failure & reason);

    /// @brief waits until every node places requests on all instances
    [[nodiscard]] bool wait_until_joined(absl::Duration patience);

    /// @brief where callers reach a node
    [[nodiscard]] endpoint ingress(std::size_t index) const;

    /// @brief the processes of an instance
    [[nodiscard]] running_instance & instance(std::size_t index);

    /// @brief how many instances there are
    [[nodiscard]] std::size_t size() const;

    /// @brief the instance of that name, or null
    [[nodiscard]] running_instance * find(std::string const & name);

    /// @brief the platform
    [[nodiscard]] child_process & platform();

    /// @brief where the platform is reached
    [[nodiscard]] endpoint platform_address() const;

private:
    bool start_target(running_instance & next, failure & reason) const;
    std::string write_settings(instance_plan const & plan) const;
    bool has_joined(running_instance const & candidate) const;

    std::string binaries;
    std::string work;
    std::string history_path;
    std::optional<endpoint> platform_relay;
    std::unique_ptr<child_process> store;
    std::vector<running_instance> instances;
    std::vector<std::unique_ptr<child_process>> relays;
};

} // namespace endivehinge::tools

#endif

#ifndef ENDIVEHINGE_TOOLS_DEMO_DEMONSTRATION_HPP
#define ENDIVEHINGE_TOOLS_DEMO_DEMONSTRATION_HPP

#include <cstdint> // uint64_t
#include <memory>  // unique_ptr
#include <string>  // string
#include <vector>  // vector

#include <absl/time/time.h> // Duration

#include "deployment_plan.hpp"

#include <common/caller_group.hpp>
#include <common/history_checker.hpp>
#include <common/local_deployment.hpp>

namespace endivehinge::demo
{

/// @brief what a demonstration is asked to do
struct demonstration_options
{
    std::string binaries;
    // an empty folder for settings, logs and parts of the history
    std::string work;
    std::string configuration_path;
    std::string history_path;
    std::uint64_t seed = 1;
    std::size_t callers = 16;
    absl::Duration span;
    bool with_faults = true;
};

/// @brief one run of a deployment under load and faults
/// @note thread safety: one thread
class demonstration
{
public:
    demonstration(demonstration_options options, deployment_plan plan);

    /// @brief starts every process and waits until the nodes know each other
    [[nodiscard]] bool start(failure & reason);

    /// @brief lets callers call, brings the faults, then stops everything
    void run();

    /// @brief merges the records and checks them
    [[nodiscard]] tools::history_verdict check() const;

    /// @brief how long each answered call took
    [[nodiscard]] std::vector<duration> const & answer_times() const;

private:
    void signal_nodes();
    void stop_processes();
    std::string targets_path() const;
    std::string callers_path() const;

    demonstration_options options;
    deployment_plan plan;
    tools::local_deployment deployment;
    tools::ingress_list nodes;
    tools::history_log callers_history;
    std::vector<duration> times;
};

} // namespace endivehinge::demo

#endif

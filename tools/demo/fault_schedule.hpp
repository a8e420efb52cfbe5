#ifndef ENDIVEHINGE_TOOLS_DEMO_FAULT_SCHEDULE_HPP
#define ENDIVEHINGE_TOOLS_DEMO_FAULT_SCHEDULE_HPP

#include <functional> // function
#include <string>     // string
#include <vector>     // vector

#include <absl/time/time.h> // Duration

#include "deployment_plan.hpp"

#include <common/ingress_list.hpp>
#include <common/local_deployment.hpp>

namespace endivehinge::demo
{

/// @brief brings the faults of the demonstration, each at its time
/// @note thread safety: one thread
class fault_schedule
{
public:
    /// @param binaries the folder of the programs
    /// @param deployment outlives the schedule
    /// @param nodes those that callers ask; outlives the schedule
    fault_schedule(std::string binaries,
                   deployment_plan plan,
                   tools::local_deployment & deployment,
                   tools::ingress_list & nodes);

    /// @brief runs all steps over a span and returns at its end
    void run(absl::Duration span);

private:
    // a step and its time as a share of the span
    struct step
    {
        double share;
        std::string name;
        std::function<bool()> act;
    };

    std::vector<step> make_steps();
    bool slow_straggler(int factor);
    bool kill_instance();
    bool replace_instance();
    bool run_operator_command(std::string const & command);
    bool silence_connection();
    bool change_platform(std::string const & outage);
    tools::instance_plan replacement() const;

    std::string binaries;
    deployment_plan plan;
    tools::local_deployment & deployment;
    tools::ingress_list & nodes;
};

} // namespace endivehinge::demo

#endif

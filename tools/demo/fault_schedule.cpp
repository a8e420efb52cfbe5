#include "fault_schedule.hpp"

#include <csignal>  // SIGKILL
#include <iostream> // cout
#include <utility>  // move

#include <absl/strings/str_cat.h> // StrCat
#include <absl/time/clock.h>      // Now, SleepFor

#include <common/command.hpp>
#include <common/control_client.hpp>

namespace endivehinge::demo
{
namespace
{

constexpr int straggle_factor = 20;
constexpr absl::Duration command_patience = absl::Seconds(20);

void print(std::string const & name, bool was_run)
{
    std::cout << "fault: " << name << (was_run ? "" : ": not run") << std::endl;
}

} // namespace

fault_schedule::fault_schedule(std::string programs,
                               deployment_plan wanted,
                               tools::local_deployment & running,
                               tools::ingress_list & all)
    : binaries(std::move(programs))
    , plan(std::move(wanted))
    , deployment(running)
    , nodes(all)
{
}

void fault_schedule::run(absl::Duration span)
{
    absl::Time const begin = absl::Now();
    for (auto const & next : this->make_steps())
    {
        absl::SleepFor(begin + span * next.share - absl::Now());
        print(next.name, next.act());
    }
    absl::SleepFor(begin + span - absl::Now());
}

std::vector<fault_schedule::step> fault_schedule::make_steps()
{
    return {
        {0.08,
         absl::StrCat(this->plan.straggler, " becomes a straggler"),
         [this]()
         {
             return this->slow_straggler(straggle_factor);
         }},
        {0.18,
         absl::StrCat(this->plan.killed, " is killed"),
         [this]()
         {
             return this->kill_instance();
         }},
        {0.28,
         absl::StrCat(this->replacement().name, " takes its place"),
         [this]()
         {
             return this->replace_instance();
         }},
        {0.35,
         absl::StrCat(this->plan.drained_domain, " is drained"),
         [this]()
         {
             return this->run_operator_command("drain");
         }},
        {0.55,
         absl::StrCat(this->plan.drained_domain, " is undrained"),
         [this]()
         {
             return this->run_operator_command("undrain");
         }},
        {0.60,
         absl::StrCat(
             "connections to ", this->plan.behind_relay, "'s target go silent"),
         [this]()
         {
             return this->silence_connection();
         }},
        {0.68,
         absl::StrCat(this->plan.straggler, " is well again"),
         [this]()
         {
             return this->slow_straggler(1);
         }},
        {0.72,
         "the platform is out",
         [this]()
         {
             return this->change_platform("refuse");
         }},
        {0.90,
         "the platform is back",
         [this]()
         {
             return this->change_platform("none");
         }},
    };
}

bool fault_schedule::slow_straggler(int factor)
{
    failure reason;
    auto * const found = this->deployment.find(this->plan.straggler);
    return found != nullptr && tools::control(*found->target,
                                              {{"straggle_factor", factor}},
                                              reason);
}

bool fault_schedule::kill_instance()
{
    auto * const found = this->deployment.find(this->plan.killed);
    if (found == nullptr)
    {
        return false;
    }
    endpoint const ingress{"127.0.0.1", found->node->port("ingress")};
    found->node->signal(SIGKILL);
    found->target->signal(SIGKILL);
    static_cast<void>(found->node->wait(absl::InfiniteDuration()));
    static_cast<void>(found->target->wait(absl::InfiniteDuration()));
    this->nodes.remove(ingress);
    return true;
}

tools::instance_plan fault_schedule::replacement() const
{
    for (auto instance : this->plan.instances)
    {
        if (instance.name == this->plan.killed)
        {
            instance.name += "-next";
            return instance;
        }
    }
    return {};
}

bool fault_schedule::replace_instance()
{
    failure reason;
    if (!this->deployment.start_instance(this->replacement(), reason))
    {
        std::cout << reason.describe() << std::endl;
        return false;
    }
    this->nodes.add(this->deployment.ingress(this->deployment.size() - 1));
    return true;
}

bool fault_schedule::run_operator_command(std::string const & command)
{
    auto const code =
        tools::run_command({this->binaries + "/endivehinge",
                            command,
                            "--platform",
                            this->deployment.platform_address().to_string(),
                            "--failure-domain",
                            this->plan.drained_domain},
                           command_patience);
    return code == 0;
}

bool fault_schedule::silence_connection()
{
    failure reason;
    auto * const found = this->deployment.find(this->plan.behind_relay);
    return found != nullptr && found->relay != nullptr &&
           tools::control(
               *found->relay, {{"silence_open_connections", 1}}, reason);
}

bool fault_schedule::change_platform(std::string const & outage)
{
    failure reason;
    return tools::control(
        this->deployment.platform(), {{"outage", outage}}, reason);
}

} // namespace endivehinge::demo

#include "demonstration.hpp"

#include <algorithm> // stable_sort
#include <csignal>   // SIGTERM
#include <fstream>   // ofstream
#include <iostream>  // cout
#include <utility>   // move

#include <absl/time/clock.h> // SleepFor

#include "fault_schedule.hpp"

#include <common/history_log.hpp>
#include <endivehinge/detail/settings/yaml_reader.hpp>

namespace endivehinge::demo
{
namespace
{

constexpr absl::Duration join_patience = absl::Seconds(30);
// above the shutdown deadline of a node
constexpr absl::Duration stop_patience = absl::Seconds(45);

void report_end(std::string const & name, std::optional<int> code)
{
    if (code != 0)
    {
        std::cout << "stop: " << name << " ended with "
                  << (code.has_value() ? std::to_string(*code) : "a kill")
                  << std::endl;
    }
}

} // namespace

demonstration::demonstration(demonstration_options wanted,
                             deployment_plan planned)
    : options(std::move(wanted))
    , plan(std::move(planned))
    , deployment(this->options.binaries, this->options.work)
    , callers_history(this->callers_path())
{
    this->deployment.write_history(this->targets_path());
}

bool demonstration::start(failure & reason)
{
    auto const text =
        detail::read_file(this->options.configuration_path, reason);
    if (!text.has_value() || !this->deployment.start_platform(*text, reason))
    {
        return false;
    }
    for (auto const & instance : this->plan.instances)
    {
        if (!this->deployment.start_instance(instance, reason))
        {
            return false;
        }
    }
    if (!this->deployment.wait_until_joined(join_patience))
    {
        reason = {failure_id::timed_out, "wait until the nodes joined", {}, {}};
        return false;
    }
    for (std::size_t i = 0; i < this->deployment.size(); ++i)
    {
        this->nodes.add(this->deployment.ingress(i));
    }
    return true;
}

void demonstration::run()
{
    tools::caller_group_plan load;
    load.kinds = this->plan.load;
    load.callers = this->options.callers;
    load.seed = this->options.seed;
    tools::caller_group callers(load, this->nodes, this->callers_history);
    if (this->options.with_faults)
    {
        fault_schedule faults(
            this->options.binaries, this->plan, this->deployment, this->nodes);
        faults.run(this->options.span);
    }
    else
    {
        absl::SleepFor(this->options.span);
    }
    // the nodes leave while calls are in progress
    this->signal_nodes();
    callers.stop();
    this->times = callers.answer_times();
    this->stop_processes();
}

tools::history_verdict demonstration::check() const
{
    auto records = tools::read_history(this->callers_path());
    auto const targets = tools::read_history(this->targets_path());
    records.insert(records.end(), targets.begin(), targets.end());
    std::stable_sort(
        records.begin(),
        records.end(),
        [](tools::history_record const & a, tools::history_record const & b)
        {
            return a.time_ns < b.time_ns;
        });
    std::ofstream merged(this->options.history_path, std::ios::trunc);
    for (auto const & record : records)
    {
        merged << tools::write_record(record) << '\n';
    }
    return tools::check_history(records);
}

std::vector<duration> const & demonstration::answer_times() const
{
    return this->times;
}

void demonstration::signal_nodes()
{
    for (std::size_t i = 0; i < this->deployment.size(); ++i)
    {
        this->deployment.instance(i).node->signal(SIGTERM);
    }
}

// nodes first: a target that leaves before its node would refuse work
void demonstration::stop_processes()
{
    for (std::size_t i = 0; i < this->deployment.size(); ++i)
    {
        auto & instance = this->deployment.instance(i);
        if (instance.node->is_running())
        {
            report_end("node " + instance.plan.name,
                       instance.node->wait(stop_patience));
        }
    }
    for (std::size_t i = 0; i < this->deployment.size(); ++i)
    {
        this->deployment.instance(i).target->signal(SIGTERM);
    }
    for (std::size_t i = 0; i < this->deployment.size(); ++i)
    {
        auto & instance = this->deployment.instance(i);
        if (instance.target->is_running())
        {
            report_end("target " + instance.plan.name,
                       instance.target->wait(stop_patience));
        }
    }
}

std::string demonstration::targets_path() const
{
    return this->options.work + "/targets.jsonl";
}

std::string demonstration::callers_path() const
{
    return this->options.work + "/callers.jsonl";
}

} // namespace endivehinge::demo

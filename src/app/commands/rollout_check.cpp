#include <endivehinge/detail/commands/rollout_check.hpp>

#include <iostream> // cout
#include <utility>  // move

#include <absl/container/btree_map.h> // btree_map
#include <absl/time/clock.h>          // Now, SleepFor
#include <absl/time/time.h>           // FromChrono

#include <endivehinge/detail/commands/node_report.hpp>

namespace endivehinge::detail
{
namespace
{

constexpr duration member_timeout = std::chrono::seconds(1);
constexpr absl::Duration ask_interval = absl::Milliseconds(200);

std::string joined(std::vector<std::string> const & names)
{
    std::string text;
    for (auto const & name : names)
    {
        text += (text.empty() ? "" : ", ") + name;
    }
    return text.empty() ? "none" : text;
}

} // namespace

rollout_check::rollout_check(std::vector<endpoint> asked)
    : nodes(std::move(asked))
    , client(control_limits())
{
}

rollout_report rollout_check::ask(object_version version)
{
    rollout_report report;
    absl::btree_map<node_name, member> members;
    for (auto const & node : this->nodes)
    {
        failure reason;
        auto const status = fetch_status(node, reason);
        if (!status.has_value())
        {
            report.silent.push_back(node.to_string());
            continue;
        }
        auto & list = status->current.version >= version ? report.in_force
                                                         : report.behind;
        list.push_back(node.to_string());
        for (auto const & one : status->members)
        {
            members[one.name] = one;
        }
    }
    for (auto const & [name, one] : members)
    {
        this->ask_member(one, version, report);
    }
    return report;
}

bool rollout_check::wait(object_version version, duration patience)
{
    absl::Time const begin = absl::Now();
    while (true)
    {
        auto const report = this->ask(version);
        absl::Duration const passed = absl::Now() - begin;
        bool const reached = report.behind.empty() && !report.in_force.empty();
        if (reached || passed > absl::FromChrono(patience))
        {
            std::cout << (reached ? "in force at " : "not in force at ")
                      << (reached ? report.in_force.size()
                                  : report.behind.size())
                      << " after " << absl::ToInt64Milliseconds(passed)
                      << " ms; behind: " << joined(report.behind)
                      << "; no answer: " << joined(report.silent) << '\n';
            return reached;
        }
        absl::SleepFor(ask_interval);
    }
}

void rollout_check::ask_member(member const & one,
                               object_version version,
                               rollout_report & report)
{
    if (one.control_address.port == 0)
    {
        return;
    }
    wire::pull_request request;
    // the objects themselves are of no interest here
    request.set_after(version.value() - 1);
    failure reason;
    auto const response =
        this->client.pull(one.control_address, request, member_timeout, reason);
    if (!response.has_value())
    {
        report.silent.push_back(one.name.value());
        return;
    }
    bool const has_it = response->changes().upto() >= version.value();
    auto & list = has_it ? report.in_force : report.behind;
    list.push_back(one.name.value());
}

} // namespace endivehinge::detail

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
constexpr absl::Duration query_interval = absl::Milliseconds(200);

std::string join_names(std::vector<std::string> const & names)
{
    std::string text;
    for (auto const & name : names)
    {
        text += (text.empty() ? "" : ", ") + name;
    }
    return text.empty() ? "none" : text;
}

} // namespace

rollout_check::rollout_check(std::vector<endpoint> admin_ports)
    : nodes(std::move(admin_ports))
    , client(control_limits())
{
}

rollout_report rollout_check::query(object_version version)
{
    rollout_report report;
    absl::btree_map<node_name, member> members;
    for (auto const & node : this->nodes)
    {
        failure reason;
        auto const status = fetch_status(node, reason);
        if (!status.has_value())
        {
            report.unreachable.push_back(node.to_string());
            continue;
        }
        auto & names = status->current.version >= version ? report.active
                                                          : report.outdated;
        names.push_back(node.to_string());
        for (auto const & reported : status->members)
        {
            members[reported.name] = reported;
        }
    }
    for (auto const & [name, target] : members)
    {
        this->query_member(target, version, report);
    }
    return report;
}

bool rollout_check::wait(object_version version, duration timeout)
{
    absl::Time const start = absl::Now();
    while (true)
    {
        auto const report = this->query(version);
        absl::Duration const elapsed = absl::Now() - start;
        bool const is_complete =
            report.outdated.empty() && !report.active.empty();
        if (is_complete || elapsed > absl::FromChrono(timeout))
        {
            std::cout << (is_complete ? "in force at " : "not in force at ")
                      << (is_complete ? report.active.size()
                                      : report.outdated.size())
                      << " after " << absl::ToInt64Milliseconds(elapsed)
                      << " ms; behind: " << join_names(report.outdated)
                      << "; no answer: " << join_names(report.unreachable)
                      << '\n';
            return is_complete;
        }
        absl::SleepFor(query_interval);
    }
}

void rollout_check::query_member(member const & target,
                                 object_version version,
                                 rollout_report & report)
{
    if (target.control_address.port == 0)
    {
        return;
    }
    wire::pull_request request;
    // only the version is needed: asking for changes after the previous version
    // keeps the response small
    request.set_after(version.value() - 1);
    failure reason;
    auto const response = this->client.pull(
        target.control_address, request, member_timeout, reason);
    if (!response.has_value())
    {
        report.unreachable.push_back(target.name.value());
        return;
    }
    bool const is_active = response->changes().upto() >= version.value();
    auto & names = is_active ? report.active : report.outdated;
    names.push_back(target.name.value());
}

} // namespace endivehinge::detail

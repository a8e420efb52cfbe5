#include <iostream> // cerr

#include <endivehinge/coordination/remaining_capacity.hpp>
#include <endivehinge/detail/commands/commands.hpp>
#include <endivehinge/detail/commands/node_report.hpp>
#include <endivehinge/detail/commands/platform_session.hpp>

namespace endivehinge::detail
{
namespace
{

// the failure domain or target whose drain state changes
struct drain_subject
{
    entry_subject kind = entry_subject::domain;
    std::string name;
};

std::optional<drain_subject> parse_subject(command_arguments const & arguments,
                                           failure & reason)
{
    auto const domain = arguments.text("failure-domain");
    auto const target = arguments.text("target");
    if (domain.has_value() == target.has_value())
    {
        reason = {failure_id::invalid_argument,
                  "read command line",
                  {},
                  "give --failure-domain NAME or --target NAME, one of them"};
        return std::nullopt;
    }
    return domain.has_value() ? drain_subject{entry_subject::domain, *domain}
                              : drain_subject{entry_subject::target, *target};
}

bool has_member(node_report const & status, drain_subject const & subject)
{
    for (auto const & candidate : status.members)
    {
        if (subject.kind == entry_subject::domain
                ? candidate.domain.value() == subject.name
                : candidate.name.value() == subject.name)
        {
            return true;
        }
    }
    return false;
}

// Warns of the capacity that each service would lose; returns false if a
// service would be left without targets.
bool warn_of_capacity_loss(node_report const & status,
                           drain_subject const & subject)
{
    configuration configuration_after = status.current;
    if (subject.kind == entry_subject::domain)
    {
        configuration_after.drained_domains.emplace(subject.name);
    }
    else
    {
        configuration_after.drained_targets.emplace(subject.name);
    }
    if (!has_member(status, subject))
    {
        std::cerr << "warning: no member is called so: " << subject.name
                  << '\n';
    }
    bool has_remaining_targets = true;
    for (auto const & capacity : remaining_capacity(
             status.members, status.current, configuration_after))
    {
        std::cerr << "warning: " << capacity.service << " keeps "
                  << capacity.targets_after << " of " << capacity.targets_before
                  << " targets and " << capacity.slots_after << " of "
                  << capacity.slots_before << " slots\n";
        has_remaining_targets =
            has_remaining_targets && capacity.targets_after > 0;
    }
    return has_remaining_targets;
}

// status of the first node in --node that responds
std::optional<node_report> fetch_any_status(command_arguments const & arguments)
{
    failure reason;
    auto const nodes = arguments.addresses("node", reason);
    for (auto const & node : *nodes)
    {
        if (auto status = fetch_status(node, reason))
        {
            return status;
        }
    }
    return std::nullopt;
}

exit_code change_drain_state(command_arguments const & arguments, bool drained)
{
    failure reason;
    auto const subject = parse_subject(arguments, reason);
    auto const platform = arguments.address("platform", reason);
    if (!subject.has_value() || !platform.has_value() ||
        !check_wait_options(arguments, reason))
    {
        return report(reason);
    }
    if (drained)
    {
        auto const status = fetch_any_status(arguments);
        if (!status.has_value())
        {
            std::cerr << "warning: what would remain is not known; --node "
                         "tells a node to ask\n";
        }
        else if (!warn_of_capacity_loss(*status, *subject) &&
                 !arguments.has("force"))
        {
            std::cerr << "endivehinge: not drained: a service would be left "
                         "without targets; --force drains all the same\n";
            return exit_refused;
        }
    }
    platform_session session(*platform, operator_name(arguments));
    edit_result done;
    if (!session.editor().set_drained(
            subject->kind, subject->name, drained, done, reason))
    {
        return report(reason);
    }
    return finish_edit(done, arguments);
}

} // namespace

exit_code run_drain(command_arguments const & arguments)
{
    return change_drain_state(arguments, true);
}

exit_code run_undrain(command_arguments const & arguments)
{
    return change_drain_state(arguments, false);
}

} // namespace endivehinge::detail

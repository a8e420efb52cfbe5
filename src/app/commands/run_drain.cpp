#include <iostream> // cerr

#include <endivehinge/coordination/remaining_capacity.hpp>
#include <endivehinge/detail/commands/commands.hpp>
#include <endivehinge/detail/commands/node_report.hpp>
#include <endivehinge/detail/commands/platform_session.hpp>

namespace endivehinge::detail
{
namespace
{

// what is to be drained or put back
struct drain_subject
{
    entry_subject kind = entry_subject::domain;
    std::string name;
};

std::optional<drain_subject> subject_of(command_arguments const & arguments,
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

bool is_known(node_report const & status, drain_subject const & subject)
{
    for (auto const & one : status.members)
    {
        if (subject.kind == entry_subject::domain
                ? one.domain.value() == subject.name
                : one.name.value() == subject.name)
        {
            return true;
        }
    }
    return false;
}

// warns of what would be missed; returns whether something would remain
bool warn(node_report const & status, drain_subject const & subject)
{
    configuration after = status.current;
    if (subject.kind == entry_subject::domain)
    {
        after.drained_domains.emplace(subject.name);
    }
    else
    {
        after.drained_targets.emplace(subject.name);
    }
    if (!is_known(status, subject))
    {
        std::cerr << "warning: no member is called so: " << subject.name
                  << '\n';
    }
    bool all_remain = true;
    for (auto const & one :
         remaining_capacity(status.members, status.current, after))
    {
        std::cerr << "warning: " << one.service << " keeps "
                  << one.targets_after << " of " << one.targets_before
                  << " targets and " << one.slots_after << " of "
                  << one.slots_before << " slots\n";
        all_remain = all_remain && one.targets_after > 0;
    }
    return all_remain;
}

// asks the first node that answers
std::optional<node_report> ask_any(command_arguments const & arguments)
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

exit_code change(command_arguments const & arguments, bool drained)
{
    failure reason;
    auto const subject = subject_of(arguments, reason);
    auto const platform = arguments.address("platform", reason);
    if (!subject.has_value() || !platform.has_value() ||
        !check_wait_options(arguments, reason))
    {
        return report(reason);
    }
    if (drained)
    {
        auto const status = ask_any(arguments);
        if (!status.has_value())
        {
            std::cerr << "warning: what would remain is not known; --node "
                         "tells a node to ask\n";
        }
        else if (!warn(*status, *subject) && !arguments.has("force"))
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
    return change(arguments, true);
}

exit_code run_undrain(command_arguments const & arguments)
{
    return change(arguments, false);
}

} // namespace endivehinge::detail

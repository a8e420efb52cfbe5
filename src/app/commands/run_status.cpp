#include <iomanip>  // left, setw
#include <iostream> // cout

#include <endivehinge/detail/commands/commands.hpp>
#include <endivehinge/detail/commands/node_report.hpp>
#include <endivehinge/detail/commands/rollout_check.hpp>

namespace endivehinge::detail
{
namespace
{

constexpr int column_width = 20;

char const * state_name(member_state state)
{
    switch (state)
    {
    case member_state::alive:
        return "alive";
    case member_state::suspect:
        return "suspect";
    case member_state::unreachable:
        return "unreachable";
    case member_state::left:
        return "left";
    case member_state::dead:
        return "dead";
    }
    return "dead";
}

char const * availability(member const & listed_member,
                          configuration const & current)
{
    if (current.is_drained(listed_member.domain, listed_member.name))
    {
        return "drained";
    }
    return listed_member.accepts_work ? "takes work" : "takes no work";
}

void print_members(node_report const & status)
{
    for (auto const & listed_member : status.members)
    {
        std::cout << std::left << std::setw(column_width)
                  << listed_member.name.value() << std::setw(column_width)
                  << listed_member.service.value() << std::setw(column_width)
                  << listed_member.domain.value() << std::setw(column_width)
                  << state_name(listed_member.state)
                  << availability(listed_member, status.current) << '\n';
    }
}

void print_names(char const * title, std::vector<std::string> const & names)
{
    if (names.empty())
    {
        return;
    }
    std::cout << title;
    for (auto const & name : names)
    {
        std::cout << ' ' << name;
    }
    std::cout << '\n';
}

} // namespace

exit_code run_status(command_arguments const & arguments)
{
    failure reason;
    auto const node = arguments.address("node", reason);
    auto const status =
        node.has_value() ? fetch_status(*node, reason) : std::nullopt;
    if (!status.has_value())
    {
        return report(reason);
    }
    if (arguments.has("json"))
    {
        std::cout << status->response_body << '\n';
        return exit_ok;
    }
    std::cout << "configuration version " << status->current.version << '\n';
    print_members(*status);
    rollout_check check({*node});
    auto const rollout = check.query(status->current.version);
    print_names("in force at:", rollout.active);
    print_names("not yet in force at:", rollout.outdated);
    print_names("no answer from:", rollout.unreachable);
    return exit_ok;
}

} // namespace endivehinge::detail

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

char const * name_of(member_state state)
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

char const * work_of(member const & one, configuration const & current)
{
    if (current.is_drained(one.domain, one.name))
    {
        return "drained";
    }
    return one.accepts_work ? "takes work" : "takes no work";
}

void print_members(node_report const & status)
{
    for (auto const & one : status.members)
    {
        std::cout << std::left << std::setw(column_width) << one.name.value()
                  << std::setw(column_width) << one.service.value()
                  << std::setw(column_width) << one.domain.value()
                  << std::setw(column_width) << name_of(one.state)
                  << work_of(one, status.current) << '\n';
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
        std::cout << status->text << '\n';
        return exit_ok;
    }
    std::cout << "configuration version " << status->current.version << '\n';
    print_members(*status);
    rollout_check check({*node});
    auto const spread = check.ask(status->current.version);
    print_names("in force at:", spread.in_force);
    print_names("not yet in force at:", spread.behind);
    print_names("no answer from:", spread.silent);
    return exit_ok;
}

} // namespace endivehinge::detail

#include <endivehinge/detail/commands/commands.hpp>

#include <iomanip>  // left, setw
#include <iostream> // cerr, cout

namespace endivehinge::detail
{
namespace
{

constexpr int name_width = 10;
constexpr int option_width = 30;

command_option const platform_option = {
    "platform", "IP:PORT", "the platform's object API"};
command_option const node_option = {
    "node", "IP:PORT", "the admin port of a node; may be repeated"};
command_option const author_option = {
    "operator", "WHO", "who makes the change; shown to operators that race"};
command_option const wait_option = {
    "wait", "", "waits until the change is in force; needs --node"};
command_option const timeout_option = {
    "timeout-s", "SECONDS", "how long --wait waits; 30 where not given"};
command_option const domain_option = {
    "failure-domain", "NAME", "the failure domain"};
command_option const target_option = {
    "target", "NAME", "the target, by the name of the node beside it"};
command_option const force_option = {
    "force", "", "also where a service would be left without targets"};

std::vector<command_option> operator_options(std::vector<command_option> own)
{
    own.insert(own.begin(), platform_option);
    own.insert(own.end(),
               {author_option, node_option, wait_option, timeout_option});
    return own;
}

void print_command(std::ostream & out, command const & one)
{
    out << "  " << std::left << std::setw(name_width) << one.name << one.summary
        << '\n';
    for (auto const & option : one.options)
    {
        std::string const form = option.value.empty()
                                     ? "--" + option.name
                                     : "--" + option.name + " " + option.value;
        out << "      " << std::left << std::setw(option_width) << form
            << option.help << '\n';
    }
}

} // namespace

std::vector<command> const & all_commands()
{
    static std::vector<command> const commands = {
        {"node",
         "runs a node beside a target",
         {{"settings", "FILE", "the settings of the node"}},
         &run_node},
        {"check",
         "checks a settings file or a configuration, and changes nothing",
         {{"settings", "FILE", "the settings of a node"},
          {"configuration", "FILE", "the operators' configuration"}},
         &run_check},
        {"apply",
         "puts a configuration in force",
         operator_options(
             {{"configuration", "FILE", "the operators' configuration"},
              {"expect-version",
               "NUMBER",
               "only where no service was changed after this version"}}),
         &run_apply},
        {"status",
         "shows the members, what is drained, and where which version is",
         {node_option, {"json", "", "prints the node's answer as it is"}},
         &run_status},
        {"drain",
         "takes a failure domain or a target out of service",
         operator_options({domain_option, target_option, force_option}),
         &run_drain},
        {"undrain",
         "puts a failure domain or a target back",
         operator_options({domain_option, target_option}),
         &run_undrain},
        {"burn",
         "shows how fast the services spend their error budgets",
         {node_option},
         &run_burn},
        {"version", "prints the version of the program", {}, &run_version},
        {"help", "prints this", {}, &run_help},
    };
    return commands;
}

exit_code run_help(command_arguments const &)
{
    std::cout << "usage: endivehinge COMMAND [OPTIONS]\n\ncommands:\n";
    for (auto const & one : all_commands())
    {
        print_command(std::cout, one);
    }
    std::cout << "\nexit codes: 0 done, 1 failed, 2 wrong command line or "
                 "text, 3 stopped with\nrequests in progress, 4 another "
                 "operator came first, 5 outcome unknown, 6 made\nand not in "
                 "force in time, 7 refused because no target would remain\n";
    return exit_ok;
}

exit_code run_version(command_arguments const &)
{
    std::cout << "endivehinge " << ENDIVEHINGE_VERSION << '\n';
    return exit_ok;
}

int run_command_line(int argc, char ** argv)
{
    std::string const name = argc < 2 ? "" : argv[1];
    for (auto const & one : all_commands())
    {
        if (one.name != name && "--" + one.name != name)
        {
            continue;
        }
        failure reason;
        auto const arguments =
            command_arguments::parse(one.options, argc - 1, argv + 1, reason);
        if (!arguments.has_value())
        {
            static_cast<void>(report(reason));
            std::cerr << "usage of " << one.name << ":\n";
            print_command(std::cerr, one);
            return exit_usage;
        }
        return one.run(*arguments);
    }
    std::cerr << "endivehinge: '" << name << "' is no command; these are:\n";
    for (auto const & one : all_commands())
    {
        std::cerr << "  " << std::left << std::setw(name_width) << one.name
                  << one.summary << '\n';
    }
    return exit_usage;
}

} // namespace endivehinge::detail

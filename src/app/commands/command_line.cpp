#include <endivehinge/detail/commands/commands.hpp>

#include <iomanip>  // left, setw
#include <iostream> // cerr, cout

namespace endivehinge::detail
{
namespace
{

constexpr int command_column_width = 10;
constexpr int option_column_width = 30;

void print_command(std::ostream & out, command const & listed_command)
{
    out << "  " << std::left << std::setw(command_column_width)
        << listed_command.name << listed_command.summary << '\n';
    for (auto const & option : listed_command.options)
    {
        std::string const usage = option.value.empty()
                                      ? "--" + option.name
                                      : "--" + option.name + " " + option.value;
        out << "      " << std::left << std::setw(option_column_width) << usage
            << option.help << '\n';
    }
}

} // namespace

exit_code run_help(command_arguments const &)
{
    std::cout << "usage: endivehinge COMMAND [OPTIONS]\n\ncommands:\n";
    for (auto const & listed_command : all_commands())
    {
        print_command(std::cout, listed_command);
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
    for (auto const & listed_command : all_commands())
    {
        if (listed_command.name != name && "--" + listed_command.name != name)
        {
            continue;
        }
        failure reason;
        auto const arguments = command_arguments::parse(
            listed_command.options, argc - 1, argv + 1, reason);
        if (!arguments.has_value())
        {
            static_cast<void>(report(reason));
            std::cerr << "usage of " << listed_command.name << ":\n";
            print_command(std::cerr, listed_command);
            return exit_usage;
        }
        return listed_command.run(*arguments);
    }
    std::cerr << "endivehinge: '" << name << "' is no command; these are:\n";
    for (auto const & listed_command : all_commands())
    {
        std::cerr << "  " << std::left << std::setw(command_column_width)
                  << listed_command.name << listed_command.summary << '\n';
    }
    return exit_usage;
}

} // namespace endivehinge::detail

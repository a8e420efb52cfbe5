#include <endivehinge/detail/commands/commands.hpp>

#include <iomanip>  // left, setw
#include <iostream> // cerr, cout

namespace endivehinge::detail
{
namespace
{

constexpr int name_width = 10;
constexpr int option_width = 30;

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

#ifndef ENDIVEHINGE_DETAIL_COMMANDS_COMMANDS_HPP
#define ENDIVEHINGE_DETAIL_COMMANDS_COMMANDS_HPP

#include <string> // string
#include <vector> // vector

#include <endivehinge/detail/commands/command_arguments.hpp>
#include <endivehinge/detail/commands/exit_code.hpp>

namespace endivehinge::detail
{

/// @brief a subcommand of the program
struct command
{
    std::string name;
    std::string summary;
    std::vector<command_option> options;
    exit_code (*run)(command_arguments const & arguments);
};

/// @brief all commands, in the order in which the help lists them
[[nodiscard]] std::vector<command> const & all_commands();

/// @brief runs the command named by the first command line argument
/// @return the exit code
/// @note thread safety: call once, from the main thread
[[nodiscard]] int run_command_line(int argc, char ** argv);

// entry points of the commands; each prints its result and returns the exit
// code

exit_code run_node(command_arguments const & arguments);
exit_code run_check(command_arguments const & arguments);
exit_code run_apply(command_arguments const & arguments);
exit_code run_status(command_arguments const & arguments);
exit_code run_drain(command_arguments const & arguments);
exit_code run_undrain(command_arguments const & arguments);
exit_code run_burn(command_arguments const & arguments);
exit_code run_version(command_arguments const & arguments);
exit_code run_help(command_arguments const & arguments);

} // namespace endivehinge::detail

#endif

#ifndef ENDIVEHINGE_DETAIL_COMMANDS_COMMANDS_HPP
#define ENDIVEHINGE_DETAIL_COMMANDS_COMMANDS_HPP

#include <string> // string
#include <vector> // vector

#include <endivehinge/detail/commands/command_arguments.hpp>
#include <endivehinge/detail/commands/exit_code.hpp>

namespace endivehinge::detail
{

/// @brief one command of the program
struct command
{
    std::string name;
    std::string summary;
    std::vector<command_option> options;
    exit_code (*run)(command_arguments const & arguments);
};

/// @brief every command, in the order that the help shows
[[nodiscard]] std::vector<command> const & all_commands();

/// @brief runs the command that the command line names
/// @return the exit code
/// @note thread safety: once, by the main thread
[[nodiscard]] int run_command_line(int argc, char ** argv);

// the commands; each prints what it did and ends with its exit code //

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

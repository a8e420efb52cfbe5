#ifndef ENDIVEHINGE_DETAIL_COMMANDS_SERVE_COMMAND_HPP
#define ENDIVEHINGE_DETAIL_COMMANDS_SERVE_COMMAND_HPP

#include <endivehinge/detail/commands/command_arguments.hpp>
#include <endivehinge/detail/commands/exit_code.hpp>

namespace endivehinge::detail
{

/// @brief runs a node on the users' platform until a signal to stop
/// @param arguments `settings`: a file, else the one the environment names
/// @note thread safety: call once, from one thread
[[nodiscard]] exit_code run_serve(command_arguments const & arguments);

} // namespace endivehinge::detail

#endif

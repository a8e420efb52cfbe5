#ifndef ENDIVEHINGE_DETAIL_COMMANDS_SERVE_COMMAND_HPP
#define ENDIVEHINGE_DETAIL_COMMANDS_SERVE_COMMAND_HPP

#include <endivehinge/detail/commands/command_arguments.hpp>
#include <endivehinge/detail/commands/exit_code.hpp>

namespace endivehinge::detail
{

/// @brief runs a node on the users' platform until it receives a stop signal
/// @param arguments option `settings`: path of the settings file; without it,
///        the path from the environment is used
/// @note thread safety: call once, from one thread
[[nodiscard]] exit_code run_serve(command_arguments const & arguments);

} // namespace endivehinge::detail

#endif

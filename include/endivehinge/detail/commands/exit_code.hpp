#ifndef ENDIVEHINGE_DETAIL_COMMANDS_EXIT_CODE_HPP
#define ENDIVEHINGE_DETAIL_COMMANDS_EXIT_CODE_HPP

#include <endivehinge/core/failure.hpp>

namespace endivehinge::detail
{

/// @brief exit status of the program; documented in docs/OPERATORS.md
enum exit_code : int
{
    exit_ok = 0,
    // the command failed; nothing was changed
    exit_failed = 1,
    // the command line, a settings file or a configuration is invalid
    exit_usage = 2,
    // a node stopped with requests still in progress
    exit_requests_interrupted = 3,
    // a concurrent change of another operator was kept; this one was not made
    exit_conflict = 4,
    // it is unknown whether the change was made
    exit_unknown = 5,
    // the change was made, but was not active on all nodes within the timeout
    exit_not_active_in_time = 6,
    // the change was refused, since a service would be left without targets
    exit_refused = 7,
};

/// @brief prints a failure to standard error
/// @return the exit code for its kind
[[nodiscard]] exit_code report(failure const & reason);

} // namespace endivehinge::detail

#endif

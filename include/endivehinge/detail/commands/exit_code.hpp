#ifndef ENDIVEHINGE_DETAIL_COMMANDS_EXIT_CODE_HPP
#define ENDIVEHINGE_DETAIL_COMMANDS_EXIT_CODE_HPP

#include <endivehinge/core/failure.hpp>

namespace endivehinge::detail
{

/// @brief how the program ends; documented in docs/OPERATORS.md
enum exit_code : int
{
    exit_ok = 0,
    // it could not be done; nothing was changed
    exit_failed = 1,
    // the command line, a settings file or a configuration is wrong
    exit_usage = 2,
    // a node stopped with requests still in progress
    exit_requests_interrupted = 3,
    // another operator's change came first; theirs stays
    exit_conflict = 4,
    // a change may or may not have been made
    exit_unknown = 5,
    // a change is made, and not in force everywhere in time
    exit_not_active_in_time = 6,
    // not done: a service would be left without targets
    exit_refused = 7,
};

/// @brief prints a failure to standard error
/// @return the exit code that goes with it
[[nodiscard]] exit_code report(failure const & reason);

} // namespace endivehinge::detail

#endif

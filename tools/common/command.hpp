#ifndef ENDIVEHINGE_TOOLS_COMMON_COMMAND_HPP
#define ENDIVEHINGE_TOOLS_COMMON_COMMAND_HPP

#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

#include <absl/time/time.h> // Duration

namespace endivehinge::tools
{

/// @brief runs a program to its end; its output is discarded
/// @param command the program and its arguments
/// @param patience it is killed after that
/// @return its exit code; nothing where it did not end by itself
/// @note thread safety: any thread
[[nodiscard]] std::optional<int>
run_command(std::vector<std::string> const & command, absl::Duration patience);

} // namespace endivehinge::tools

#endif

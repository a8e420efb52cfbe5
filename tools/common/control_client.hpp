#ifndef ENDIVEHINGE_TOOLS_COMMON_CONTROL_CLIENT_HPP
#define ENDIVEHINGE_TOOLS_COMMON_CONTROL_CLIENT_HPP

#include <nlohmann/json.hpp> // json

#include <common/child_process.hpp>

namespace endivehinge::tools
{

/// @brief changes how a stand-in behaves, by its control port
/// @param fields those that change
/// @param reason why it did not change
/// @note thread safety: any thread; blocks on I/O
[[nodiscard]] bool control(child_process const & stand_in,
                           nlohmann::json const & fields,
                           failure & reason);

/// @brief what a stand-in counted; null where it does not answer
/// @note thread safety: any thread; blocks on I/O
[[nodiscard]] nlohmann::json read_report(child_process const & stand_in);

} // namespace endivehinge::tools

#endif

#ifndef ENDIVEHINGE_TOOLS_COMMON_CONNECTION_STATE_HPP
#define ENDIVEHINGE_TOOLS_COMMON_CONNECTION_STATE_HPP

#include <endivehinge/detail/http/http_handler.hpp>

namespace endivehinge::tools
{

/// @brief whether the peer has closed its end
[[nodiscard]] bool has_hung_up(detail::http_connection connection);

/// @brief ends a connection, so that no answer goes out on it
void cut(detail::http_connection connection);

} // namespace endivehinge::tools

#endif

#ifndef ENDIVEHINGE_TOOLS_COMMON_JSON_RESPONSE_HPP
#define ENDIVEHINGE_TOOLS_COMMON_JSON_RESPONSE_HPP

#include <nlohmann/json.hpp> // json

#include <endivehinge/core/http_message.hpp>

namespace endivehinge::tools
{

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_too_large = 413;
constexpr int status_too_many_requests = 429;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;

/// @brief a response whose body is JSON
[[nodiscard]] http_response json_response(int status,
                                          nlohmann::json const & body);

} // namespace endivehinge::tools

#endif

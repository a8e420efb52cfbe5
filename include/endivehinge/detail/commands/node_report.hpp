#ifndef ENDIVEHINGE_DETAIL_COMMANDS_NODE_REPORT_HPP
#define ENDIVEHINGE_DETAIL_COMMANDS_NODE_REPORT_HPP

#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

#include <endivehinge/coordination/configuration.hpp>
#include <endivehinge/coordination/member.hpp>
#include <endivehinge/core/failure.hpp>
#include <endivehinge/policy/burn_counter.hpp>

namespace endivehinge::detail
{

/// @brief what a node says of itself and the others
struct node_report
{
    // the version and the drains in force at that node; no services
    configuration current;
    std::vector<member> members;
    // the answer as it came
    std::string text;
};

/// @brief the burn of a service as nodes report it
struct burn_report
{
    service_name service;
    double target_share = 0;
    double latency_ms = 0;
    std::vector<burn_window> windows;
};

/// @brief asks a node for its page /status
/// @param node its admin port
/// @note thread safety: any thread; blocks on I/O
[[nodiscard]] std::optional<node_report> fetch_status(endpoint const & node,
                                                      failure & reason);

/// @brief asks a node for its page /burn
/// @note as fetch_status
[[nodiscard]] std::optional<std::vector<burn_report>>
fetch_burn(endpoint const & node, failure & reason);

} // namespace endivehinge::detail

#endif

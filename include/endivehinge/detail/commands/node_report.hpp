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

/// @brief configuration and membership as reported by a node
struct node_report
{
    // the active version and drains of that node; contains no services
    configuration current;
    std::vector<member> members;
    // unparsed response body
    std::string response_body;
};

/// @brief use of a service's error budget as reported by nodes
struct burn_report
{
    service_name service;
    double target_share = 0;
    double latency_ms = 0;
    std::vector<burn_window> windows;
};

/// @brief requests /status from a node
/// @param node address of its admin port
/// @note thread safety: any thread; blocks on I/O
[[nodiscard]] std::optional<node_report> fetch_status(endpoint const & node,
                                                      failure & reason);

/// @brief requests /burn from a node
/// @param node address of its admin port
/// @note thread safety: any thread; blocks on I/O
[[nodiscard]] std::optional<std::vector<burn_report>>
fetch_burn(endpoint const & node, failure & reason);

} // namespace endivehinge::detail

#endif

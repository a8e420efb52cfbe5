#ifndef ENDIVEHINGE_DETAIL_GATEWAY_CRASH_REPORT_EXCHANGE_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_CRASH_REPORT_EXCHANGE_HPP

#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

#include <endivehinge/core/failure.hpp>
#include <endivehinge/detail/gateway/http_types.hpp>
#include <endivehinge/policy/crash_report.hpp>

namespace endivehinge::detail
{

/// @brief the message with which a node sends crash reports to another one
/// @note thread safety: any thread
struct crash_report_exchange
{
    /// @brief whether a request of another node contains crash reports
    [[nodiscard]] static bool is_request(request_message const & message);

    [[nodiscard]] static request_message
    write_request(std::vector<crash_report> const & reports);

    /// @brief reads the reports of a request
    /// @param reason set to invalid_message on error
    /// @return no value if the body is invalid
    [[nodiscard]] static std::optional<std::vector<crash_report>>
    read_request(request_message const & message, failure & reason);
};

} // namespace endivehinge::detail

#endif

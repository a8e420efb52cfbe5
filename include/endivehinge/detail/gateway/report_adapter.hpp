#ifndef ENDIVEHINGE_DETAIL_GATEWAY_REPORT_ADAPTER_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_REPORT_ADAPTER_HPP

#include <cstdint>  // int64_t
#include <optional> // optional

#include <endivehinge/core/failure.hpp>
#include <endivehinge/detail/gateway/http_types.hpp>
#include <endivehinge/policy/target_status_report.hpp>

namespace endivehinge::detail
{

/// @brief a status report of a target, or the message that it is leaving
struct target_notice
{
    target_id id;
    // start of the incarnation, milliseconds since the Unix epoch; 0: unknown
    std::int64_t started_ms = 0;
    // nullopt: the target is leaving
    std::optional<target_status_report> report;
};

/// @brief parses the status reports of targets
/// @note thread safety: const; any thread
class report_adapter
{
public:
    report_adapter() = default;
    report_adapter(report_adapter const &) = delete;
    report_adapter & operator=(report_adapter const &) = delete;
    virtual ~report_adapter() = default;

    /// @param reason not_found if the path is not that of a report,
    /// invalid_message if the report is malformed
    [[nodiscard]] virtual std::optional<target_notice>
    read_notice(request_message const & message, failure & reason) const = 0;
};

} // namespace endivehinge::detail

#endif

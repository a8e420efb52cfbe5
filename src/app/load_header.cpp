#include <endivehinge/detail/node/load_header.hpp>

#include <vector> // vector

#include <absl/strings/numbers.h>   // SimpleAtod, SimpleAtoi
#include <absl/strings/str_cat.h>   // StrCat
#include <absl/strings/str_split.h> // StrSplit

namespace endivehinge::detail
{
namespace
{

using std::chrono::duration_cast;
using std::chrono::microseconds;

constexpr std::size_t field_count = 4;

std::int64_t to_microseconds(duration interval)
{
    return duration_cast<microseconds>(interval).count();
}

} // namespace

std::string encode_load_report(load_report const & report)
{
    return absl::StrCat(report.signal.in_flight,
                        ";",
                        report.signal.limit,
                        ";",
                        to_microseconds(report.signal.latency),
                        ";",
                        to_microseconds(report.time_at_node));
}

std::optional<load_report> decode_load_report(std::string const & value,
                                              time_point received)
{
    std::vector<std::string> const fields = absl::StrSplit(value, ';');
    load_report report;
    std::int64_t latency_us = 0;
    std::int64_t time_at_node_us = 0;
    if (fields.size() != field_count ||
        !absl::SimpleAtod(fields[0], &report.signal.in_flight) ||
        !absl::SimpleAtod(fields[1], &report.signal.limit) ||
        !absl::SimpleAtoi(fields[2], &latency_us) ||
        !absl::SimpleAtoi(fields[3], &time_at_node_us))
    {
        return std::nullopt;
    }
    report.signal.latency = microseconds(latency_us);
    report.signal.received = received;
    report.time_at_node = microseconds(time_at_node_us);
    return report;
}

} // namespace endivehinge::detail

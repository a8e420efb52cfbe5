#ifndef ENDIVEHINGE_DETAIL_NODE_LOAD_HEADER_HPP
#define ENDIVEHINGE_DETAIL_NODE_LOAD_HEADER_HPP

#include <optional> // optional
#include <string>   // string

#include <endivehinge/core/clock.hpp>
#include <endivehinge/policy/load_signal.hpp>

namespace endivehinge::detail
{

/// @brief load of a target and time on its node, sent with each response
struct load_report
{
    load_signal signal;
    // from receipt of the request to the response
    duration time_at_node{0};
};

/// @brief encodes a report as the value of one header field
[[nodiscard]] std::string encode_load_report(load_report const & report);

/// @brief decodes a report
/// @param received arrival time of the report
/// @return no value if the format is invalid
[[nodiscard]] std::optional<load_report>
decode_load_report(std::string const & value, time_point received);

} // namespace endivehinge::detail

#endif

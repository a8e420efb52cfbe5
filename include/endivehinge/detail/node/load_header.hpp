#ifndef ENDIVEHINGE_DETAIL_NODE_LOAD_HEADER_HPP
#define ENDIVEHINGE_DETAIL_NODE_LOAD_HEADER_HPP

#include <optional> // optional
#include <string>   // string

#include <endivehinge/core/clock.hpp>
#include <endivehinge/policy/load_signal.hpp>

namespace endivehinge::detail
{

/// @brief what an answering node says of its target and of itself
struct load_report
{
    load_signal signal;
    // how long the node had the request
    duration time_at_node{0};
};

/// @brief writes a report as the value of one header field
[[nodiscard]] std::string encode_load_report(load_report const & report);

/// @brief reads a report
/// @param received when it came in
/// @return nothing where the value is of another form
[[nodiscard]] std::optional<load_report>
decode_load_report(std::string const & value, time_point received);

} // namespace endivehinge::detail

#endif

#ifndef ENDIVEHINGE_DETAIL_NODE_OUTCOME_QUERY_HPP
#define ENDIVEHINGE_DETAIL_NODE_OUTCOME_QUERY_HPP

#include <optional> // optional

#include <endivehinge/coordination/execution_table.hpp>
#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/http_message.hpp>
#include <endivehinge/core/ids.hpp>

namespace endivehinge::detail
{

/// @brief queries a node for the outcome of an attempt that was sent to it
/// @note The query fences an unknown attempt, which can then never start.
struct outcome_query
{
    request_id try_id;
    // the incarnation of the node that the attempt was sent to
    incarnation addressed_incarnation;
    // how long the node may delay its response while the attempt runs
    duration wait_limit{0};
};

/// @brief whether a message between nodes is an outcome query
[[nodiscard]] bool is_outcome_query(http_request const & message);

/// @brief encodes a query
[[nodiscard]] http_request encode_outcome_query(outcome_query const & query);

/// @brief decodes a query
/// @return nothing if a field is missing or invalid
[[nodiscard]] std::optional<outcome_query>
decode_outcome_query(http_request const & message);

/// @brief encodes the state of an attempt and, if finished, its outcome
[[nodiscard]] http_response
encode_execution_report(execution_report const & report);

/// @brief decodes the state of an attempt and, if finished, its outcome
/// @return nothing if the response carries no known execution state, so that
///         it does not come from a node
[[nodiscard]] std::optional<execution_report>
decode_execution_report(http_response response);

} // namespace endivehinge::detail

#endif

#ifndef ENDIVEHINGE_DETAIL_NODE_OUTCOME_QUERY_HPP
#define ENDIVEHINGE_DETAIL_NODE_OUTCOME_QUERY_HPP

#include <optional> // optional

#include <endivehinge/coordination/execution_table.hpp>
#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/http_message.hpp>
#include <endivehinge/core/ids.hpp>

namespace endivehinge::detail
{

/// @brief asks a node what became of a try that was sent to it
/// @note an unknown try is fenced by the question: it never starts later
struct outcome_query
{
    request_id try_id;
    // the run of the node that the try was sent to
    incarnation addressed_incarnation;
    // how long the node waits with its answer while the try runs
    duration wait_limit{0};
};

/// @brief whether a message between nodes is an outcome query
[[nodiscard]] bool is_outcome_query(http_request const & message);

/// @brief writes a query
[[nodiscard]] http_request encode_outcome_query(outcome_query const & query);

/// @brief reads a query
/// @return nothing where a field is missing or wrong
[[nodiscard]] std::optional<outcome_query>
decode_outcome_query(http_request const & message);

/// @brief writes what became of the try
[[nodiscard]] http_response
encode_execution_report(execution_report const & report);

/// @brief reads what became of the try
/// @return nothing where no node wrote the response
[[nodiscard]] std::optional<execution_report>
decode_execution_report(http_response response);

} // namespace endivehinge::detail

#endif

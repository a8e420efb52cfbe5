#ifndef ENDIVEHINGE_DETAIL_NODE_REMOTE_EXECUTOR_HPP
#define ENDIVEHINGE_DETAIL_NODE_REMOTE_EXECUTOR_HPP

#include <optional> // optional

#include <endivehinge/coordination/member.hpp>
#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/outcome.hpp>
#include <endivehinge/detail/http/http_client.hpp>
#include <endivehinge/detail/node/hop_codec.hpp>
#include <endivehinge/detail/node/load_header.hpp>

namespace endivehinge::detail
{

/// @brief result of one attempt on another node
struct remote_execution_result
{
    outcome result;
    // load of the node, if its response reports it
    std::optional<load_report> report;
};

/// @brief result of querying the outcome of an attempt
struct outcome_query_result
{
    // whether the node answered the query
    bool reachable = false;
    // not set while the attempt runs or the node does not answer
    std::optional<outcome> final_outcome;
};

/// @brief executes one attempt of a request on another node
///
/// While no response arrives, or after the connection was lost, the outcome of
/// the attempt is queried on a new connection.
class remote_executor
{
public:
    /// @param client outlives the executor
    /// @param time outlives the executor
    remote_executor(http_client & client, clock const & time);

    /// @brief sends the attempt and returns its outcome
    /// @param node the node to send it to
    /// @param caller_socket socket whose closure cancels the request; -1: none
    /// @note thread safety: any thread; blocks until the outcome
    [[nodiscard]] remote_execution_result
    execute(member const & node, hop_request const & hop, int caller_socket);

private:
    remote_execution_result read_response(http_response response) const;
    outcome query_until_final(member const & node, hop_request const & hop);
    outcome_query_result query_outcome(member const & node,
                                       hop_request const & hop,
                                       duration wait_limit);

    http_client & client;
    clock const & time;
};

} // namespace endivehinge::detail

#endif

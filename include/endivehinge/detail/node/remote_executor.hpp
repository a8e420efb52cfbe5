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

/// @brief how a try on another node ended
struct remote_result
{
    outcome result;
    // what the node said of its load, where it answered
    std::optional<load_report> report;
};

/// @brief what a question about a try brought
struct question_result
{
    // whether the node answered the question
    bool reachable = false;
    // nothing while the try runs, or while the node does not answer
    std::optional<outcome> known;
};

/// @brief makes one try of a request on another node
///
/// While a connection is silent, or after it was lost, the other node is
/// asked on a new connection what became of the try.
class remote_executor
{
public:
    /// @param client outlives the executor
    /// @param time outlives the executor
    remote_executor(http_client & client, clock const & time);

    /// @brief sends the try and gives its outcome
    /// @param node where to
    /// @param caller_socket watched for hang-up; -1: none
    /// @note thread safety: any thread; blocks until the outcome
    [[nodiscard]] remote_result
    execute(member const & node, hop_request const & hop, int caller_socket);

private:
    remote_result read(http_response response) const;
    outcome settle(member const & node, hop_request const & hop);
    question_result
    ask(member const & node, hop_request const & hop, duration patience);

    http_client & client;
    clock const & time;
};

} // namespace endivehinge::detail

#endif

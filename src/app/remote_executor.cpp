#include <endivehinge/detail/node/remote_executor.hpp>

#include <algorithm> // min
#include <utility>   // move

#include <absl/time/clock.h> // SleepFor
#include <absl/time/time.h>  // Milliseconds

#include <endivehinge/core/header_names.hpp>
#include <endivehinge/detail/node/outcome_query.hpp>

namespace endivehinge::detail
{
namespace
{

using std::chrono::milliseconds;

// A connection without a response for this long may be broken.
constexpr duration initial_query_delay = milliseconds(100);
constexpr duration max_query_interval = milliseconds(800);
constexpr duration query_timeout = milliseconds(250);
constexpr duration query_wait_limit = milliseconds(200);
constexpr absl::Duration query_retry_interval = absl::Milliseconds(20);
constexpr duration rejection_retry_after = milliseconds(20);
constexpr int query_interval_growth = 2;
// After this many unanswered queries, an idempotent request fails so that it
// can be retried on another node.
constexpr int max_unanswered_queries = 2;

outcome make_indeterminate(failure reason, member const & node)
{
    reason.step = "send to node";
    reason.peer = node.name.value();
    return outcome::indeterminate(std::move(reason));
}

outcome make_rejected(failure reason, member const & node)
{
    reason.step = "send to node";
    reason.peer = node.name.value();
    return outcome::rejected(std::move(reason), rejection_retry_after);
}

outcome_query_result to_query_result(http_response response,
                                     member const & node)
{
    outcome_query_result result;
    auto const report = decode_execution_report(std::move(response));
    if (!report.has_value())
    {
        return result;
    }
    result.reachable = true;
    switch (report->state)
    {
    case execution_state::finished:
        result.final_outcome = *report->result;
        break;
    case execution_state::fenced:
        result.final_outcome = make_rejected(
            {failure_id::fenced, {}, {}, "the request did not arrive"}, node);
        break;
    case execution_state::indeterminate:
        result.final_outcome = make_indeterminate(
            {failure_id::outcome_unknown, {}, {}, "the node does not know"},
            node);
        break;
    default:
        break;
    }
    return result;
}

} // namespace

remote_executor::remote_executor(http_client & shared_client,
                                 clock const & time_source)
    : client(shared_client)
    , time(time_source)
{
}

remote_execution_result remote_executor::execute(member const & node,
                                                 hop_request const & hop,
                                                 int caller_socket)
{
    time_point const deadline = hop.content.deadline;
    http_exchange_options options;
    options.timeout = deadline - this->time.now();
    options.watched_socket = caller_socket;
    http_call call = this->client.begin(
        node.peer_address, encode_hop_request(hop, this->time.now()), options);
    duration query_interval = initial_query_delay;
    int unanswered_queries = 0;
    while (!call.wait(std::min(query_interval, deadline - this->time.now())))
    {
        if (this->time.now() >= deadline)
        {
            break;
        }
        query_interval = std::min(query_interval_growth * query_interval,
                                  max_query_interval);
        auto query_result = this->query_outcome(node, hop, duration(0));
        if (query_result.final_outcome.has_value())
        {
            // The node answers on a new connection but not on the old one;
            // its idle connections may all be broken.
            this->client.forget(node.peer_address);
            return {*std::move(query_result.final_outcome), std::nullopt};
        }
        unanswered_queries =
            query_result.reachable ? 0 : unanswered_queries + 1;
        if (hop.content.repeatable &&
            unanswered_queries >= max_unanswered_queries)
        {
            return {
                make_indeterminate(
                    {failure_id::timed_out, {}, {}, "the node does not answer"},
                    node),
                std::nullopt};
        }
    }
    failure reason;
    if (auto response = call.take(reason))
    {
        return this->read_response(*std::move(response));
    }
    if (!call.was_sent())
    {
        return {make_rejected(std::move(reason), node), std::nullopt};
    }
    if (reason.id != failure_id::connection_lost)
    {
        return {make_indeterminate(std::move(reason), node), std::nullopt};
    }
    return {this->query_until_final(node, hop), std::nullopt};
}

remote_execution_result
remote_executor::read_response(http_response response) const
{
    remote_execution_result execution;
    if (auto const * const value = response.headers.find(header_names::load))
    {
        execution.report = decode_load_report(*value, this->time.now());
        response.headers.remove(header_names::load);
    }
    execution.result = decode_hop_outcome(std::move(response));
    return execution;
}

// Queries the outcome after a lost connection until it is final or the deadline
// has passed.
outcome remote_executor::query_until_final(member const & node,
                                           hop_request const & hop)
{
    this->client.forget(node.peer_address);
    while (this->time.now() < hop.content.deadline)
    {
        duration const remaining_time = hop.content.deadline - this->time.now();
        auto query_result = this->query_outcome(
            node, hop, std::min(remaining_time, query_wait_limit));
        if (query_result.final_outcome.has_value())
        {
            return *std::move(query_result.final_outcome);
        }
        absl::SleepFor(query_retry_interval);
    }
    return make_indeterminate(
        {failure_id::timed_out, {}, {}, "no outcome before the deadline"},
        node);
}

outcome_query_result remote_executor::query_outcome(member const & node,
                                                    hop_request const & hop,
                                                    duration wait_limit)
{
    http_exchange_options options;
    options.timeout = query_timeout + wait_limit;
    options.fresh_connection = true;
    http_exchange_report report;
    failure reason;
    auto response = this->client.exchange(
        node.peer_address,
        encode_outcome_query({hop.try_id, node.incarnation_number, wait_limit}),
        options,
        report,
        reason);
    if (response.has_value())
    {
        return to_query_result(*std::move(response), node);
    }
    outcome_query_result result;
    if (reason.id == failure_id::connect_failed)
    {
        // No process accepts connections any more: the node has stopped.
        result.final_outcome = make_indeterminate(std::move(reason), node);
    }
    return result;
}

} // namespace endivehinge::detail

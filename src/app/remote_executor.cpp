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

// a connection without an answer for so long may have gone silent
constexpr duration first_question_after = milliseconds(100);
constexpr duration longest_between_questions = milliseconds(800);
constexpr duration question_timeout = milliseconds(250);
constexpr duration settle_patience = milliseconds(200);
constexpr absl::Duration between_failed_questions = absl::Milliseconds(20);
constexpr duration fenced_retry_after = milliseconds(20);
constexpr int growth = 2;
// a request that may run again goes elsewhere after so many
constexpr int most_unanswered_questions = 2;

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
    return outcome::rejected(std::move(reason), fenced_retry_after);
}

question_result read_answer(http_response response, member const & node)
{
    question_result result;
    auto const report = decode_execution_report(std::move(response));
    if (!report.has_value())
    {
        return result;
    }
    result.reachable = true;
    switch (report->state)
    {
    case execution_state::finished:
        result.known = *report->result;
        break;
    case execution_state::fenced:
        result.known = make_rejected(
            {failure_id::fenced, {}, {}, "the request did not arrive"}, node);
        break;
    case execution_state::indeterminate:
        result.known = make_indeterminate(
            {failure_id::outcome_unknown, {}, {}, "the node does not know"},
            node);
        break;
    default:
        break;
    }
    return result;
}

} // namespace

remote_executor::remote_executor(http_client & exchanges, clock const & source)
    : client(exchanges)
    , time(source)
{
}

remote_result remote_executor::execute(member const & node,
                                       hop_request const & hop,
                                       int caller_socket)
{
    time_point const deadline = hop.content.deadline;
    http_exchange_options options;
    options.timeout = deadline - this->time.now();
    options.watched_socket = caller_socket;
    http_call call = this->client.begin(
        node.peer_address, encode_hop_request(hop, this->time.now()), options);
    duration pause = first_question_after;
    int unanswered = 0;
    while (!call.wait(std::min(pause, deadline - this->time.now())))
    {
        if (this->time.now() >= deadline)
        {
            break;
        }
        pause = std::min(growth * pause, longest_between_questions);
        auto answer = this->ask(node, hop, duration(0));
        if (answer.known.has_value())
        {
            // new connections work: the old ones may all be silent
            this->client.forget(node.peer_address);
            return {*std::move(answer.known), std::nullopt};
        }
        unanswered = answer.reachable ? 0 : unanswered + 1;
        if (hop.content.repeatable && unanswered >= most_unanswered_questions)
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
        return this->read(*std::move(response));
    }
    if (!call.was_sent())
    {
        return {make_rejected(std::move(reason), node), std::nullopt};
    }
    if (reason.id != failure_id::connection_lost)
    {
        return {make_indeterminate(std::move(reason), node), std::nullopt};
    }
    return {this->settle(node, hop), std::nullopt};
}

remote_result remote_executor::read(http_response response) const
{
    remote_result read_result;
    if (auto const * const value = response.headers.find(header_names::load))
    {
        read_result.report = decode_load_report(*value, this->time.now());
        response.headers.remove(header_names::load);
    }
    read_result.result = decode_hop_outcome(std::move(response));
    return read_result;
}

// the connection was lost: asks until the outcome is known or time is up
outcome remote_executor::settle(member const & node, hop_request const & hop)
{
    this->client.forget(node.peer_address);
    while (this->time.now() < hop.content.deadline)
    {
        duration const left = hop.content.deadline - this->time.now();
        auto answer = this->ask(node, hop, std::min(left, settle_patience));
        if (answer.known.has_value())
        {
            return *std::move(answer.known);
        }
        absl::SleepFor(between_failed_questions);
    }
    return make_indeterminate(
        {failure_id::timed_out, {}, {}, "no outcome before the deadline"},
        node);
}

question_result remote_executor::ask(member const & node,
                                     hop_request const & hop,
                                     duration patience)
{
    http_exchange_options options;
    options.timeout = question_timeout + patience;
    options.fresh_connection = true;
    http_exchange_report report;
    failure reason;
    auto response = this->client.exchange(
        node.peer_address,
        encode_outcome_query({hop.try_id, node.incarnation_number, patience}),
        options,
        report,
        reason);
    if (response.has_value())
    {
        return read_answer(*std::move(response), node);
    }
    question_result result;
    if (reason.id == failure_id::connect_failed)
    {
        // nobody listens any more: the node has ended
        result.known = make_indeterminate(std::move(reason), node);
    }
    return result;
}

} // namespace endivehinge::detail

#include <endivehinge/detail/gateway/peer_service.hpp>

#include <absl/strings/str_cat.h> // StrCat

#include <endivehinge/detail/gateway/allotment_exchange.hpp>
#include <endivehinge/detail/gateway/crash_report_exchange.hpp>
#include <endivehinge/detail/gateway/hop_fields.hpp>
#include <endivehinge/detail/gateway/in_flight_query.hpp>
#include <endivehinge/detail/gateway/loop_time.hpp>
#include <endivehinge/detail/gateway/replica_exchange.hpp>
#include <endivehinge/detail/gateway/rollout_exchange.hpp>
#include <endivehinge/detail/gateway/version_notice.hpp>

namespace endivehinge::detail
{

namespace http = boost::beast::http;

namespace
{

// allotments, crash reports and orders of roll-outs take some kilobytes
constexpr std::uint64_t max_query_bytes = std::uint64_t{1} << 20;

} // namespace

peer_service::peer_service(gateway_state & shared_state,
                           replica_sync & sync,
                           allotment_service & allotment_messages,
                           rollout_control & service_rollout)
    : state(shared_state)
    , replicas(sync)
    , allotments(allotment_messages)
    , rollout(service_rollout)
    , started_at(loop_now())
{
}

void peer_service::handle(std::shared_ptr<exchange> incoming)
{
    if (this->handle_query(*incoming))
    {
        return;
    }
    auto const sender = read_hop_sender(incoming->request);
    if (sender)
    {
        this->replicas.receive_peer_versions(sender->peer, sender->versions);
    }
    auto request =
        read_hop_request(std::move(incoming->request), incoming->arrival);
    if (!request)
    {
        this->state.log.write("peer_request_unreadable", {});
        response_message response{http::status::bad_request, 11};
        response.prepare_payload();
        incoming->respond(std::move(response));
        return;
    }
    request->account_version =
        sender ? sender->versions.configuration_version : 0;
    if (!this->in_flight_requests.begin(request->in_flight_id))
    {
        this->state.log.write("flight_fenced", {{"id", request->id}});
        this->refuse(*incoming, "fenced", false);
        return;
    }
    if (this->state.stopping && !this->state.stop.accepts(request->urgency,
                                                          request->idempotent,
                                                          loop_now()))
    {
        this->in_flight_requests.end(request->in_flight_id);
        this->refuse(*incoming, "node_stops", true);
        return;
    }
    remove_connection_fields(request->message);
    if (auto const & configuration = this->state.fleet.configuration();
        configuration && configuration->requires_accounts)
    {
        // the node where the request began may not know of accounts yet, and
        // then passes on what its client sent
        this->state.adapter.write_account(request->message, request->account);
    }
    this->run(incoming, std::move(*request));
}

head_verdict peer_service::check_head(request_head const & head) const
{
    head_verdict verdict;
    if (has_hop_fields(head))
    {
        return verdict;
    }
    verdict.max_body_bytes = max_query_bytes;
    request_message const message(head);
    bool const is_query = version_notice::is_request(message) ||
                          replica_exchange::is_request(message) ||
                          crash_report_exchange::is_request(message) ||
                          allotment_exchange::is_request(message) ||
                          rollout_exchange::is_request(message) ||
                          in_flight_query::is_request(message);
    if (!is_query)
    {
        verdict.refusal = http::status::bad_request;
    }
    return verdict;
}

response_message peer_service::overload_response()
{
    dispatch_result result;
    result.outcome = dispatch_outcome::refused;
    result.refusal = admission_refusal::busy;
    result.reason = "memory";
    result.load = this->state.target.load();
    return write_hop_result(std::move(result), this->state.own_sender.versions);
}

bool peer_service::handle_query(exchange & incoming)
{
    if (version_notice::is_request(incoming.request))
    {
        this->receive_notice(incoming);
        return true;
    }
    if (replica_exchange::is_request(incoming.request))
    {
        this->replicas.serve(incoming);
        return true;
    }
    if (crash_report_exchange::is_request(incoming.request))
    {
        this->receive_crash_reports(incoming);
        return true;
    }
    if (this->allotments.handle(incoming))
    {
        return true;
    }
    if (rollout_exchange::is_request(incoming.request))
    {
        this->rollout.serve(incoming);
        return true;
    }
    if (in_flight_query::is_request(incoming.request))
    {
        incoming.respond(
            in_flight_query::answer(incoming.request,
                                    this->in_flight_requests,
                                    loop_now() - this->started_at));
        return true;
    }
    return false;
}

void peer_service::receive_notice(exchange & incoming)
{
    auto const sender = read_hop_sender(incoming.request);
    response_message response{
        sender ? http::status::ok : http::status::bad_request, 11};
    response.keep_alive(true);
    response.prepare_payload();
    incoming.respond(std::move(response));
    if (sender)
    {
        this->replicas.receive_peer_versions(sender->peer, sender->versions);
    }
}

void peer_service::receive_crash_reports(exchange & incoming)
{
    failure reason;
    auto const reports =
        crash_report_exchange::read_request(incoming.request, reason);
    if (reports)
    {
        this->state.target.crash_monitor().merge(*reports);
    }
    else
    {
        this->state.log.write("crash_report_unreadable",
                              {{"reason", reason.describe()}});
    }
    response_message response{
        reports ? http::status::ok : http::status::bad_request, 11};
    response.keep_alive(true);
    response.prepare_payload();
    incoming.respond(std::move(response));
}

void peer_service::run(std::shared_ptr<exchange> const & incoming,
                       dispatch_request request)
{
    auto const in_flight_id = request.in_flight_id;
    auto const control = this->state.target.run(
        std::move(request),
        [this, incoming, in_flight_id](dispatch_result result)
        {
            this->in_flight_requests.end(in_flight_id);
            if (result.outcome == dispatch_outcome::refused)
            {
                bool const refused_by_admission =
                    result.refusal != admission_refusal::none;
                this->state.metrics.increment(absl::StrCat(
                    "gate_refused_",
                    refused_by_admission ? to_string(result.refusal)
                                         : "by_target"));
            }
            this->respond(*incoming, std::move(result));
        },
        [] {});
    incoming->on_cancel(
        [this, control, in_flight_id]
        {
            this->in_flight_requests.end(in_flight_id);
            control.cancel();
        });
    incoming->on_stop_review(
        [this, control, in_flight_id, &client = *incoming]
        {
            auto const now = loop_now();
            if (!this->state.stop.can_complete(duration(0), now) &&
                control.withdraw())
            {
                this->in_flight_requests.end(in_flight_id);
                this->refuse(client, "node_stops", true);
                return;
            }
            if (now < this->state.stop.conclusion)
            {
                return;
            }
            this->in_flight_requests.end(in_flight_id);
            control.cancel();
            dispatch_result unknown;
            unknown.outcome = dispatch_outcome::indeterminate;
            unknown.reason = "node_stops";
            unknown.reached_target = true;
            this->respond(client, std::move(unknown));
        });
}

void peer_service::refuse(exchange & incoming, char const * reason, bool closed)
{
    dispatch_result result;
    result.outcome = dispatch_outcome::refused;
    result.reason = reason;
    target_load load = this->state.target.load();
    load.closed = load.closed || closed;
    result.load = load;
    this->respond(incoming, std::move(result));
}

void peer_service::respond(exchange & incoming, dispatch_result result)
{
    auto message =
        write_hop_result(std::move(result), this->state.own_sender.versions);
    message.keep_alive(true);
    message.prepare_payload();
    incoming.respond(std::move(message));
}

} // namespace endivehinge::detail

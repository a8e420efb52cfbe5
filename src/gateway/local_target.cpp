#include <endivehinge/detail/gateway/local_target.hpp>

#include <algorithm> // max

#include <absl/strings/str_cat.h> // StrCat
#include <boost/asio/post.hpp>    // post

#include <endivehinge/detail/gateway/loop_time.hpp>

namespace endivehinge::detail
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

// to connect to a target on the same instance
constexpr duration connect_timeout = std::chrono::milliseconds(250);
// lets the target's own response at the deadline arrive first
constexpr duration deadline_grace = std::chrono::milliseconds(30);
// a review that is due is never due at once again
constexpr duration shortest_review = std::chrono::milliseconds(1);
// below the least number of connections that the brief names for a target
constexpr std::size_t largest_connections = 200;
// the wait that a refusal states where nothing better is known
constexpr duration unknown_wait = std::chrono::milliseconds(100);

upstream_options options_of_target()
{
    upstream_options options;
    options.connections = largest_connections;
    return options;
}

} // namespace

local_target::local_target(asio::io_context & loop,
                           gateway_settings const & chosen,
                           message_adapter const & codec,
                           event_log & events)
    : io(loop)
    , settings(chosen)
    , adapter(codec)
    , log(events)
    , server(loop, chosen.target_address, options_of_target())
    , prober(loop, this->server, chosen.target_address)
    , review_timer(loop)
{
}

// ---------------------------------------------------------------------------
// requests
// ---------------------------------------------------------------------------

target_runner::cancel_action local_target::run(dispatch_request request,
                                               result_handler done)
{
    auto const state = std::make_shared<request_state>();
    state->request = std::move(request);
    state->done = std::move(done);
    state->offered = loop_now();
    target_admission_verdict verdict;
    if (auto const & known = this->identity.current();
        known && known->id != state->request.target)
    {
        verdict.reason = admission_refusal::other_incarnation;
    }
    else
    {
        verdict = this->gate.offer(state->request.route,
                                   state->request.urgency,
                                   state->request.slow_target,
                                   state->offered);
    }
    auto const ticket = verdict.ticket;
    if (verdict.decision == target_admission_verdict::action::refuse)
    {
        dispatch_result refused;
        refused.outcome = dispatch_outcome::refused;
        refused.reason = to_string(verdict.reason);
        refused.refusal = verdict.reason;
        refused.retry_after = verdict.retry_after;
        refused.load = this->gate.load();
        asio::post(this->io,
                   [state, refused]
                   {
                       if (state->done)
                       {
                           state->done(refused);
                       }
                   });
        return [state]
        {
            state->done = nullptr;
        };
    }
    this->requests[ticket] = state;
    asio::post(this->io,
               [this]
               {
                   this->review();
               });
    return [this, ticket]
    {
        auto const found = this->requests.find(ticket);
        if (found == this->requests.end())
        {
            return;
        }
        if (found->second->connection)
        {
            found->second->connection->cancel();
        }
        this->requests.erase(found);
        this->gate.cancel(ticket);
        this->review();
    };
}

void local_target::start(admission_ticket ticket)
{
    auto const state = this->requests.at(ticket);
    state->started = loop_now();
    this->send(ticket, state, false);
}

void local_target::send(admission_ticket ticket,
                        state_pointer const & state,
                        bool fresh)
{
    auto const & request = state->request;
    request_message message = request.message;
    message.version(11);
    message.keep_alive(true);
    message.prepare_payload();
    this->adapter.write_dispatch(message,
                                 {request.target,
                                  request.caller,
                                  request.urgency.deadline - loop_now()});
    call_options options;
    options.deadline = request.urgency.deadline + deadline_grace;
    options.connect_timeout = connect_timeout;
    options.id_field = this->adapter.request_id_field();
    options.id_value = request.id;
    state->connection =
        this->server.send(std::move(message),
                          options,
                          fresh,
                          [this, ticket](call_result result)
                          {
                              this->responded(ticket, std::move(result));
                          });
    if (!state->connection)
    {
        asio::post(this->io,
                   [this, ticket]
                   {
                       call_result result;
                       result.detail = "no connection left";
                       this->responded(ticket, std::move(result));
                   });
    }
}

void local_target::responded(admission_ticket ticket, call_result result)
{
    auto const found = this->requests.find(ticket);
    if (found == this->requests.end())
    {
        return;
    }
    auto const state = found->second;
    if (this->can_send_again(*state, result))
    {
        state->resent = true;
        this->send(ticket, state, true);
        return;
    }
    this->respond(ticket, state, std::move(result));
}

bool local_target::can_send_again(request_state const & state,
                                  call_result const & result) const
{
    // once a byte was sent the target may have run it: a further attempt, which
    // is for the node that dispatches it to decide
    return !state.resent && state.connection &&
           result.status == call_status::not_sent;
}

void local_target::respond(admission_ticket ticket,
                           state_pointer const & state,
                           call_result result)
{
    dispatch_result outcome;
    outcome.waited = state->started - state->offered;
    outcome.ran = loop_now() - state->started;
    outcome.reason = result.detail;
    outcome.reached_target = result.status != call_status::not_sent;
    if (result.status == call_status::not_sent)
    {
        outcome.outcome = dispatch_outcome::refused;
        outcome.retry_after = unknown_wait;
        this->finish(ticket, std::move(outcome), true);
        return;
    }
    if (result.status != call_status::answered)
    {
        outcome.outcome = dispatch_outcome::indeterminate;
        this->finish(ticket, std::move(outcome), true);
        return;
    }
    auto const head = this->adapter.read_response(result.response.result_int(),
                                                  result.response);
    this->note_head(head);
    if (head.not_run)
    {
        outcome.outcome = dispatch_outcome::refused;
        outcome.reason = head.from_other_incarnation ? "other_run" : "shed";
        outcome.retry_after = unknown_wait;
        outcome.reached_target = !head.from_other_incarnation;
        if (head.from_other_incarnation)
        {
            this->identity.invalidate(state->request.target);
            this->update_gate();
        }
        this->finish(ticket, std::move(outcome), !head.from_other_incarnation);
        return;
    }
    bool const failed =
        result.response.result_int() >=
        static_cast<unsigned>(http::status::internal_server_error);
    outcome.outcome = dispatch_outcome::answered;
    outcome.from_service = head.from_service;
    outcome.response = std::move(result.response);
    remove_connection_fields(outcome.response);
    this->finish(ticket, std::move(outcome), failed);
}

void local_target::finish(admission_ticket ticket,
                          dispatch_result result,
                          bool failed)
{
    auto const found = this->requests.find(ticket);
    auto const state = found->second;
    this->requests.erase(found);
    this->gate.finish(ticket, failed, loop_now());
    result.load = this->gate.load();
    if (auto const done = std::exchange(state->done, nullptr))
    {
        done(std::move(result));
    }
    this->review();
}

void local_target::refuse(admission_ticket ticket,
                          target_admission_verdict const & verdict)
{
    auto const found = this->requests.find(ticket);
    if (found == this->requests.end())
    {
        return;
    }
    auto const state = found->second;
    this->requests.erase(found);
    dispatch_result result;
    result.outcome = dispatch_outcome::refused;
    result.reason = to_string(verdict.reason);
    result.refusal = verdict.reason;
    result.retry_after = verdict.retry_after;
    result.waited = loop_now() - state->offered;
    result.load = this->gate.load();
    if (auto const done = std::exchange(state->done, nullptr))
    {
        done(std::move(result));
    }
}

void local_target::review()
{
    for (auto const & verdict : this->gate.take_ready(loop_now()))
    {
        if (verdict.decision == target_admission_verdict::action::start)
        {
            this->start(verdict.ticket);
        }
        else
        {
            this->refuse(verdict.ticket, verdict);
        }
    }
    if (this->gate.try_start_probe(loop_now()))
    {
        this->probe_slowdown();
    }
    this->arm_review();
}

void local_target::arm_review()
{
    auto const next = this->gate.next_review(loop_now());
    if (!next)
    {
        return;
    }
    this->review_timer.expires_at(std::chrono::steady_clock::time_point(
        std::max(*next, loop_now() + shortest_review)));
    this->review_timer.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
            {
                this->review();
            }
        });
}

// ---------------------------------------------------------------------------
// what is known of the target
// ---------------------------------------------------------------------------

bool local_target::report(target_notice const & notice)
{
    if (!notice.report)
    {
        if (this->identity.leave(notice.id))
        {
            this->log.write("target_left", {{"target", notice.id.value()}});
            this->update_gate();
        }
        return true;
    }
    auto const & said = *notice.report;
    if (said.service != this->settings.service ||
        said.address != this->settings.target_address)
    {
        return false;
    }
    auto const change = this->identity.report(said);
    if (change == target_incarnation_tracker::change::none)
    {
        return true;
    }
    if (change == target_incarnation_tracker::change::new_incarnation)
    {
        this->server.close_idle();
        this->cold_until = time_point();
    }
    this->cold_until =
        std::max(this->cold_until, loop_now() + said.cold_remaining);
    if (change != target_incarnation_tracker::change::refreshed)
    {
        this->log_identity("report");
    }
    this->update_gate();
    return true;
}

void local_target::set_properties(service_properties const & stated)
{
    this->properties = stated;
    this->prober.set_path(stated.health_path);
    this->update_gate();
}

void local_target::set_evacuated(bool out)
{
    this->evacuated = out;
    this->update_gate();
}

void local_target::on_entry_change(std::function<void()> action)
{
    this->entry_action = std::move(action);
}

std::optional<target_entry> local_target::entry() const
{
    auto const & known = this->identity.current();
    if (!known)
    {
        return std::nullopt;
    }
    target_entry entry;
    entry.node = this->settings.node;
    entry.peer = this->settings.peer_listener;
    entry.id = known->id;
    entry.service = this->settings.service;
    entry.domain = this->settings.domain;
    entry.state = known->state;
    entry.slots = known->slots;
    return entry;
}

target_load local_target::load() const
{
    return this->gate.load();
}

std::uint64_t local_target::opened_connections() const
{
    return this->server.opened_count();
}

void local_target::update_gate()
{
    auto const & known = this->identity.current();
    bool const open =
        known && known->state == target_state::ready && !this->evacuated;
    if (known)
    {
        this->gate.set_slots(known->slots);
    }
    this->gate.set_cold(
        this->cold_until,
        this->properties ? this->properties->cold_requests_per_second : 0);
    this->gate.set_open(open);
    this->review();
    if (this->entry_action)
    {
        this->entry_action();
    }
}

void local_target::note_head(target_response_head const & head)
{
    this->last_response = loop_now();
    this->prober.note_response(this->last_response);
    if (head.slowdown)
    {
        this->gate.set_slowdown(*head.slowdown, this->last_response);
    }
    if (head.cold_remaining)
    {
        this->cold_until = loop_now() + *head.cold_remaining;
        this->gate.set_cold(
            this->cold_until,
            this->properties ? this->properties->cold_requests_per_second : 0);
    }
}

void local_target::log_identity(char const * how)
{
    auto const & known = this->identity.current();
    this->log.write(
        "target_known",
        {{"target", known->id.value()},
         {"state", known->state == target_state::ready ? "ready" : "draining"},
         {"by", how},
         {"sequence", absl::StrCat(known->sequence)},
         {"slots", absl::StrCat(known->slots)},
         {"cold_ms",
          format_milliseconds(
              std::max(this->cold_until - loop_now(), duration(0)))}});
}

// ---------------------------------------------------------------------------
// health probes
// ---------------------------------------------------------------------------

void local_target::start_probing()
{
    this->prober.start(
        [this](call_result const & result)
        {
            this->probed(result);
        });
}

void local_target::probe_slowdown()
{
    auto const done = [this](call_result const & result)
    {
        bool const answered = result.status == call_status::answered;
        auto const before = this->last_response;
        this->probed(result);
        if (!answered || this->last_response == before)
        {
            this->gate.probe_failed(loop_now());
        }
        this->review();
    };
    if (!this->prober.ask_now(done))
    {
        this->gate.probe_failed(loop_now());
    }
}

void local_target::probed(call_result const & result)
{
    if (result.status != call_status::answered)
    {
        return;
    }
    auto const head = this->adapter.read_response(result.response.result_int(),
                                                  result.response);
    this->note_head(head);
    bool const healthy = result.response.result() == http::status::ok;
    if (!healthy || !head.id || !head.slots)
    {
        return;
    }
    if (this->identity.record_health_response(*head.id, *head.slots) ==
        target_incarnation_tracker::change::new_incarnation)
    {
        if (!head.cold_remaining && this->properties)
        {
            // a run that was not announced may have just started
            this->cold_until =
                loop_now() + this->properties->cold_start_duration;
        }
        this->server.close_idle();
        this->log_identity("probe");
        this->update_gate();
    }
}

} // namespace endivehinge::detail

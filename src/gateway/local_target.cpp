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

// for a connection to the target, which runs on the same machine as this
// process, so that no network delay adds to it
constexpr duration connect_timeout = std::chrono::milliseconds(250);
// extends the request deadline, so that the target's own response at the
// deadline arrives first
constexpr duration deadline_grace = std::chrono::milliseconds(30);
// minimum delay of the queue timer, which prevents a busy loop
constexpr duration min_queue_delay = std::chrono::milliseconds(1);
// below the smallest number of connections that any target supports
constexpr std::size_t max_target_connections = 200;
// a lost request is retried after this at the latest, although it is not known
// yet whether the target crashed; a refused connection shows it within 1 ms
constexpr duration max_lost_result_delay = std::chrono::milliseconds(20);
// used if no estimate is available
constexpr duration default_retry_after = std::chrono::milliseconds(100);

upstream_options target_options(response_registry & responses)
{
    upstream_options options;
    options.responses = &responses;
    options.max_connections = max_target_connections;
    return options;
}

} // namespace

local_target::local_target(asio::io_context & loop,
                           gateway_settings const & node_settings,
                           message_adapter const & message_codec,
                           event_log & events,
                           response_registry & responses)
    : io(loop)
    , settings(node_settings)
    , adapter(message_codec)
    , log(events)
    , server(loop, node_settings.target_address, target_options(responses))
    , prober(loop, this->server, node_settings.target_address)
    , crashes(node_settings, events)
    , lost_result_timer(loop)
    , queue_timer(loop)
{
}

// ---------------------------------------------------------------------------
// requests
// ---------------------------------------------------------------------------

target_runner::cancel_action local_target::run(dispatch_request request,
                                               result_handler done,
                                               silence_handler /*on_silence*/)
{
    auto const state = std::make_shared<request_state>();
    state->request = std::move(request);
    state->done = std::move(done);
    state->queued_at = loop_now();
    auto const verdict = this->admit(*state);
    auto const ticket = verdict.ticket;
    if (verdict.decision == target_admission_verdict::action::refuse)
    {
        dispatch_result refused;
        refused.outcome = dispatch_outcome::refused;
        refused.reason = to_string(verdict.reason);
        refused.refusal = verdict.reason;
        refused.retry_after = verdict.retry_after;
        refused.load = this->admission.load(loop_now());
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
                   this->process_queue();
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
        this->admission.cancel(ticket);
        this->process_queue();
    };
}

target_admission_verdict local_target::admit(request_state & state)
{
    target_admission_verdict refusal;
    if (!this->address_to_current_incarnation(state.request))
    {
        refusal.reason = admission_refusal::other_incarnation;
        return refusal;
    }
    this->adopt_rate_limit(state.request);
    auto const status = this->crashes.check(state.request);
    if (status.verdict == quarantine_verdict::crashing)
    {
        refusal.reason = admission_refusal::crashing;
        refusal.retry_after = status.remaining;
        return refusal;
    }
    state.suspect = status.verdict == quarantine_verdict::suspect;
    return this->admission.offer(state.request.route,
                                 state.request.urgency,
                                 state.request.slow_action,
                                 state.queued_at,
                                 state.suspect);
}

bool local_target::address_to_current_incarnation(
    dispatch_request & request) const
{
    auto const & current = this->identity.current();
    if (!current || current->id == request.target)
    {
        return true;
    }
    if (request.service != this->settings.service)
    {
        return false;
    }
    // the sender selected this node for its service, and its entry is outdated
    request.target = current->id;
    return true;
}

void local_target::start(admission_ticket ticket)
{
    auto const state = this->requests.at(ticket);
    state->started_at = loop_now();
    this->send(ticket, state, false);
}

void local_target::send(admission_ticket ticket,
                        state_pointer const & state,
                        bool force_new)
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
    state->connection = this->server.send(std::move(message),
                                          options,
                                          force_new,
                                          [this, ticket](call_result result)
                                          {
                                              this->handle_call_result(
                                                  ticket, std::move(result));
                                          });
    if (!state->connection)
    {
        asio::post(this->io,
                   [this, ticket]
                   {
                       call_result result;
                       result.detail = "no connection left";
                       this->handle_call_result(ticket, std::move(result));
                   });
    }
}

void local_target::handle_call_result(admission_ticket ticket,
                                      call_result result)
{
    auto const found = this->requests.find(ticket);
    if (found == this->requests.end())
    {
        return;
    }
    auto const state = found->second;
    if (this->can_resend(*state, result))
    {
        state->resent = true;
        this->send(ticket, state, true);
        return;
    }
    this->complete_request(ticket, state, std::move(result));
}

bool local_target::can_resend(request_state const & state,
                              call_result const & result) const
{
    // after any byte was sent the target may have run the request; whether to
    // retry is then decided by the node that dispatches it
    return !state.resent && state.connection &&
           result.status == call_status::not_sent;
}

void local_target::complete_request(admission_ticket ticket,
                                    state_pointer const & state,
                                    call_result result)
{
    dispatch_result outcome;
    outcome.queue_time = state->started_at - state->queued_at;
    outcome.run_time = loop_now() - state->started_at;
    outcome.reason = result.detail;
    outcome.reached_target = result.status != call_status::not_sent;
    if (result.status == call_status::not_sent)
    {
        outcome.outcome = dispatch_outcome::refused;
        outcome.retry_after = default_retry_after;
        this->finish(ticket, std::move(outcome), true);
        return;
    }
    if (result.status != call_status::answered)
    {
        outcome.outcome = dispatch_outcome::indeterminate;
        if (result.status != call_status::connection_lost ||
            !this->hold_lost_request(ticket, *state, outcome))
        {
            this->finish(ticket, std::move(outcome), true);
        }
        return;
    }
    auto const head = this->adapter.read_response(result.response.result_int(),
                                                  result.response);
    this->apply_response_head(head);
    if (head.leaving && !head.from_other_incarnation)
    {
        this->drain(state->request.target);
    }
    if (head.not_run)
    {
        outcome.outcome = dispatch_outcome::refused;
        outcome.reason = head.from_other_incarnation ? "other_run" : "shed";
        outcome.retry_after = default_retry_after;
        outcome.reached_target = !head.from_other_incarnation;
        if (head.from_other_incarnation)
        {
            this->crashes.confirm_crash(state->request.target);
            this->identity.invalidate(state->request.target);
            this->update_admission();
        }
        this->finish(ticket, std::move(outcome), !head.from_other_incarnation);
        return;
    }
    bool const failed =
        result.response.result_int() >=
        static_cast<unsigned>(http::status::internal_server_error);
    this->crashes.record_answer(state->request);
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
    this->admission.finish(ticket, failed, loop_now());
    result.load = this->admission.load(loop_now());
    if (auto const done = std::exchange(state->done, nullptr))
    {
        done(std::move(result));
    }
    this->process_queue();
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
    result.queue_time = loop_now() - state->queued_at;
    result.load = this->admission.load(loop_now());
    if (auto const done = std::exchange(state->done, nullptr))
    {
        done(std::move(result));
    }
}

void local_target::process_queue()
{
    for (auto const & verdict : this->admission.take_ready(loop_now()))
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
    if (this->admission.try_start_probe(loop_now()))
    {
        this->probe_slowdown();
    }
    this->arm_queue_timer();
}

void local_target::arm_queue_timer()
{
    auto const next = this->admission.next_review(loop_now());
    if (!next)
    {
        return;
    }
    this->queue_timer.expires_at(std::chrono::steady_clock::time_point(
        std::max(*next, loop_now() + min_queue_delay)));
    this->queue_timer.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
            {
                this->process_queue();
            }
        });
}

// ---------------------------------------------------------------------------
// state of the target
// ---------------------------------------------------------------------------

bool local_target::report(target_notice const & notice)
{
    if (!notice.report)
    {
        if (this->identity.leave(notice.id))
        {
            this->log.write("target_left", {{"target", notice.id.value()}});
            this->update_admission();
        }
        return true;
    }
    auto const & status_report = *notice.report;
    if (status_report.service != this->settings.service ||
        status_report.address != this->settings.target_address)
    {
        return false;
    }
    auto const before = this->identity.current();
    auto const change = this->identity.report(status_report);
    if (change == target_incarnation_tracker::change::none)
    {
        return true;
    }
    if (change == target_incarnation_tracker::change::new_incarnation)
    {
        if (before)
        {
            this->handle_replacement(before->id, before->state);
        }
        this->server.close_idle();
        this->cold_until = time_point();
    }
    this->cold_until =
        std::max(this->cold_until, loop_now() + status_report.cold_remaining);
    if (change != target_incarnation_tracker::change::refreshed)
    {
        this->log_identity("report");
    }
    this->update_admission();
    return true;
}

void local_target::set_properties(service_properties const & configured)
{
    this->properties = configured;
    this->prober.set_path(configured.health_path);
    this->update_admission();
}

void local_target::set_evacuated(bool is_evacuated)
{
    this->evacuated = is_evacuated;
    this->update_admission();
}

void local_target::on_entry_change(std::function<void()> action)
{
    this->entry_change_action = std::move(action);
}

std::optional<target_entry> local_target::entry() const
{
    auto const & current = this->identity.current();
    if (!current)
    {
        return std::nullopt;
    }
    target_entry entry;
    entry.node = this->settings.node;
    entry.peer = this->settings.peer_listener;
    entry.id = current->id;
    entry.service = this->settings.service;
    entry.domain = this->settings.domain;
    entry.state = current->state;
    entry.slots = current->slots;
    entry.crashing_requests = this->crashes.crashing();
    return entry;
}

target_crash_monitor & local_target::crash_monitor()
{
    return this->crashes;
}

target_load local_target::load() const
{
    return this->admission.load(loop_now());
}

std::uint64_t local_target::opened_connections() const
{
    return this->server.opened_count();
}

void local_target::update_admission()
{
    auto const & current = this->identity.current();
    // without the properties of its service, the rate limit of a cold target is
    // unknown
    bool const open = current && current->state == target_state::ready &&
                      !this->evacuated && this->properties;
    if (current)
    {
        this->admission.set_slots(current->slots);
    }
    this->admission.set_cold(
        this->cold_until,
        this->properties ? this->properties->cold_requests_per_second : 0,
        this->settings.bounds.cold_rate);
    this->admission.set_open(open);
    this->process_queue();
    if (this->entry_change_action)
    {
        this->entry_change_action();
    }
}

void local_target::apply_response_head(target_response_head const & head)
{
    this->last_response = loop_now();
    this->prober.record_response(this->last_response);
    if (head.slowdown)
    {
        this->admission.set_slowdown(*head.slowdown, this->last_response);
    }
    this->apply_rate_limit(head);
    if (head.cold_remaining)
    {
        this->cold_until = loop_now() + *head.cold_remaining;
        this->admission.set_cold(
            this->cold_until,
            this->properties ? this->properties->cold_requests_per_second : 0,
            this->settings.bounds.cold_rate);
    }
}

void local_target::apply_rate_limit(target_response_head const & head)
{
    if (head.rate_limit_is_invalid && !this->logged_invalid_rate_limit)
    {
        this->logged_invalid_rate_limit = true;
        this->log.write("target_limit_unreadable", {});
    }
    this->rate_limit_known = this->rate_limit_known || head.from_service;
    // only a response of the service itself shows that there is no limit
    if (head.rate_limit || head.from_service)
    {
        this->set_rate_limit(head.rate_limit, "response");
    }
}

void local_target::set_rate_limit(std::optional<double> limit,
                                  char const * source)
{
    if (limit == this->rate_limit)
    {
        return;
    }
    this->rate_limit = limit;
    this->admission.set_stated_rate(limit, loop_now());
    this->log.write("target_limit",
                    {{"requests_per_s", limit ? absl::StrCat(*limit) : "none"},
                     {"by", source}});
}

void local_target::adopt_rate_limit(dispatch_request const & request)
{
    if (!this->rate_limit_known && request.stated_rate)
    {
        this->set_rate_limit(request.stated_rate, "node");
    }
}

void local_target::drain(target_id const & target)
{
    if (this->identity.drain(target))
    {
        this->log_identity("response");
        this->update_admission();
    }
}

void local_target::handle_replacement(target_id const & ended,
                                      target_state last_state)
{
    if (last_state == target_state::ready)
    {
        this->crashes.confirm_crash(ended);
    }
    this->rate_limit_known = true;
    this->set_rate_limit(std::nullopt, "replacement");
}

void local_target::log_identity(char const * source)
{
    auto const & current = this->identity.current();
    this->log.write(
        "target_known",
        {{"target", current->id.value()},
         {"state",
          current->state == target_state::ready ? "ready" : "draining"},
         {"by", source},
         {"sequence", absl::StrCat(current->sequence)},
         {"slots", absl::StrCat(current->slots)},
         {"cold_ms",
          format_milliseconds(
              std::max(this->cold_until - loop_now(), duration(0)))}});
}

// ---------------------------------------------------------------------------
// crashes of the target
// ---------------------------------------------------------------------------

bool local_target::hold_lost_request(admission_ticket ticket,
                                     request_state const & state,
                                     dispatch_result const & result)
{
    auto const & current = this->identity.current();
    if (!current || current->state != target_state::ready)
    {
        // a target that has announced its end closes its connections
        return false;
    }
    this->crashes.record_lost(state.request, state.suspect, state.started_at);
    if (!this->check_for_crash())
    {
        return false;
    }
    this->lost_results.push_back({ticket, result});
    if (this->lost_results.size() == 1)
    {
        this->arm_lost_result_timer();
    }
    return true;
}

void local_target::arm_lost_result_timer()
{
    this->lost_result_timer.expires_after(max_lost_result_delay);
    this->lost_result_timer.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
            {
                this->finish_lost_requests(false);
            }
        });
}

bool local_target::check_for_crash()
{
    if (this->crash_check_pending)
    {
        return true;
    }
    this->crash_check_pending = this->prober.probe_new_connection(
        [this](call_result const & result)
        {
            this->crash_check_pending = false;
            auto const & current = this->identity.current();
            bool const crashed = result.connection_refused && current;
            if (crashed)
            {
                this->crashes.confirm_crash(current->id);
            }
            this->handle_probe(result);
            if (result.status == call_status::answered)
            {
                this->crashes.dismiss_losses();
            }
            this->finish_lost_requests(crashed);
        });
    return this->crash_check_pending;
}

void local_target::finish_lost_requests(bool crashed)
{
    this->lost_result_timer.cancel();
    for (auto & lost : std::exchange(this->lost_results, {}))
    {
        // cancelled meanwhile otherwise
        if (this->requests.contains(lost.ticket))
        {
            lost.result.target_crashed = crashed;
            this->finish(lost.ticket, std::move(lost.result), true);
        }
    }
}

// ---------------------------------------------------------------------------
// health probes
// ---------------------------------------------------------------------------

void local_target::start_probing()
{
    this->prober.start(
        [this](call_result const & result)
        {
            this->handle_probe(result);
        });
}

void local_target::probe_slowdown()
{
    auto const done = [this](call_result const & result)
    {
        bool const answered = result.status == call_status::answered;
        auto const before = this->last_response;
        this->handle_probe(result);
        if (!answered || this->last_response == before)
        {
            this->admission.probe_failed(loop_now());
        }
        this->process_queue();
    };
    if (!this->prober.probe_now(done))
    {
        this->admission.probe_failed(loop_now());
    }
}

void local_target::handle_probe(call_result const & result)
{
    if (result.status != call_status::answered)
    {
        return;
    }
    auto const head = this->adapter.read_response(result.response.result_int(),
                                                  result.response);
    this->apply_response_head(head);
    if (head.leaving && head.id)
    {
        this->drain(*head.id);
    }
    bool const healthy = result.response.result() == http::status::ok;
    if (!healthy || !head.id || !head.slots)
    {
        return;
    }
    auto const before = this->identity.current();
    if (this->identity.record_health_response(*head.id, *head.slots) ==
        target_incarnation_tracker::change::new_incarnation)
    {
        if (before)
        {
            this->handle_replacement(before->id, before->state);
        }
        if (!head.cold_remaining && this->properties)
        {
            // an incarnation that was not announced may have just started
            this->cold_until =
                loop_now() + this->properties->cold_start_duration;
        }
        this->server.close_idle();
        this->log_identity("probe");
        this->update_admission();
    }
}

} // namespace endivehinge::detail

#include <endivehinge/detail/gateway/local_target.hpp>

#include <utility> // exchange, move

#include <boost/asio/post.hpp> // post

#include <endivehinge/detail/gateway/loop_time.hpp>
#include <endivehinge/policy/hedge_policy.hpp>

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
// with those of health probes below the smallest number of connections that any
// target supports
constexpr std::size_t max_target_connections = 192;
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
    , prober(loop,
             node_settings.target_address,
             message_codec.request_id_field(),
             responses)
    , crashes(node_settings, events)
    , lost_result_timer(loop)
    , queue_timer(loop)
{
}

// ---------------------------------------------------------------------------
// requests
// ---------------------------------------------------------------------------

target_runner::control local_target::run(dispatch_request request,
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
        refused.share_used = verdict.share_used;
        refused.load = this->load();
        asio::post(this->io,
                   [state, refused]
                   {
                       if (state->done)
                       {
                           state->done(refused);
                       }
                   });
        return {[state]
                {
                    state->done = nullptr;
                },
                [state]
                {
                    state->done = nullptr;
                    return true;
                }};
    }
    this->requests[ticket] = state;
    asio::post(this->io,
               [this]
               {
                   this->process_queue();
               });
    return {[this, ticket]
            {
                this->cancel(ticket);
            },
            [this, ticket]
            {
                return this->withdraw(ticket);
            }};
}

void local_target::cancel(admission_ticket ticket)
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
}

bool local_target::withdraw(admission_ticket ticket)
{
    auto const found = this->requests.find(ticket);
    if (found == this->requests.end() ||
        found->second->started_at != time_point())
    {
        return false;
    }
    this->cancel(ticket);
    return true;
}

target_admission_verdict local_target::admit(request_state & state)
{
    target_admission_verdict refusal;
    if (!this->address_to_current_incarnation(state.request))
    {
        refusal.reason = admission_refusal::other_incarnation;
        return refusal;
    }
    if (!this->is_version_open())
    {
        refusal.reason = admission_refusal::closed;
        return refusal;
    }
    this->adopt_rate_limit(state.request);
    if (state.request.hedge &&
        !can_start_at_once(this->admission.load(state.queued_at)))
    {
        refusal.reason = admission_refusal::busy;
        return refusal;
    }
    auto const status = this->crashes.check(state.request);
    if (status.verdict == quarantine_verdict::crashing)
    {
        refusal.reason = admission_refusal::crashing;
        refusal.retry_after = status.remaining;
        return refusal;
    }
    state.suspect = status.verdict == quarantine_verdict::suspect;
    auto const verdict =
        this->admission.offer(state.request.route,
                              state.request.urgency,
                              state.request.slow_action,
                              state.queued_at,
                              state.suspect,
                              this->weighted_account_of(state.request));
    if (this->rollout != nullptr &&
        verdict.decision != target_admission_verdict::action::refuse)
    {
        this->rollout->record_accepted(state.request.route);
    }
    return verdict;
}

weighted_account
local_target::weighted_account_of(dispatch_request const & request) const
{
    auto const found = this->account_weights.find(request.account);
    return {request.account,
            found == this->account_weights.end() ? 1 : found->second};
}

bool local_target::address_to_current_incarnation(
    dispatch_request & request) const
{
    // the entry by which the sender selected this node may be outdated
    if (request.service != this->settings.service)
    {
        return false;
    }
    if (auto const & current = this->identity.current())
    {
        request.target = current->id;
    }
    return true;
}

void local_target::start(admission_ticket ticket)
{
    auto const state = this->requests.at(ticket);
    if (auto const * const reason = this->check_start(state->request))
    {
        this->abandon(ticket, reason);
        return;
    }
    state->started_at = loop_now();
    this->send(ticket, state, false);
}

void local_target::set_start_check(start_check new_check)
{
    this->check_start = std::move(new_check);
}

call_route_detector & local_target::call_routes()
{
    return this->calls;
}

void local_target::abandon(admission_ticket ticket, char const * reason)
{
    auto const state = this->requests.at(ticket);
    this->requests.erase(ticket);
    this->admission.cancel(ticket);
    dispatch_result result;
    result.outcome = dispatch_outcome::refused;
    result.reason = reason;
    result.queue_time = loop_now() - state->queued_at;
    result.load = this->admission.load(loop_now());
    asio::post(this->io,
               [this, state, result]
               {
                   if (auto const done = std::exchange(state->done, nullptr))
                   {
                       done(result);
                   }
                   this->process_queue();
               });
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
        this->record_rollout_loss(*state);
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
    this->record_rollout_response(*state, outcome.run_time, failed);
    if (failed)
    {
        this->calls.record_failed_run(loop_now());
    }
    else
    {
        this->crashes.record_success(state->request);
    }
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
    result.load = this->load();
    if (auto const done = std::exchange(state->done, nullptr))
    {
        done(std::move(result));
    }
    this->process_queue();
}

} // namespace endivehinge::detail

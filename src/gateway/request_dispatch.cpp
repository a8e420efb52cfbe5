#include <endivehinge/detail/gateway/request_dispatch.hpp>

#include <algorithm> // clamp, max, min

#include <absl/strings/str_cat.h> // StrCat

#include <endivehinge/detail/gateway/allotment_client.hpp>
#include <endivehinge/detail/gateway/hop_fields.hpp>
#include <endivehinge/detail/gateway/loop_time.hpp>

namespace endivehinge::detail
{

namespace http = boost::beast::http;

namespace
{

// used if the client states no timeout
constexpr duration default_client_timeout = std::chrono::seconds(30);
// a starting node usually has a configuration within 50 ms; a client that is
// refused earlier comes back no sooner than that
constexpr duration max_configuration_wait = std::chrono::milliseconds(150);
// share of the client's time, which the request itself needs as well
constexpr double max_configuration_wait_share = 0.25;
// share of a request's time in which it may wait for the owner of its account;
// the rest is for its run and for another attempt
constexpr double max_owner_wait_share = 0.5;
// extends the request deadline, so that the target's own response at the
// deadline arrives first
constexpr duration deadline_grace = std::chrono::milliseconds(80);
// limits of the retry delay sent with a refusal
constexpr duration min_retry_delay = std::chrono::milliseconds(50);
constexpr duration max_retry_delay = std::chrono::milliseconds(1000);
// used if no target gave an estimate
constexpr duration default_retry_delay = std::chrono::milliseconds(200);
// a request during which so many targets crashed is not retried; their reports
// may still be on the way
constexpr std::uint32_t max_crashed_targets = 2;
// share of its time that a call of a running request may take; the rest is left
// to the request that made it
constexpr double usable_call_time_share = 0.7;
// maximum jitter relative to the retry delay; spreads out the retries of
// refused clients
constexpr double retry_jitter = 0.5;

std::string_view host_of(request_message const & message)
{
    auto const host = std_view(message[http::field::host]);
    return host.substr(0, host.find(':'));
}

} // namespace

request_dispatch::request_dispatch(gateway_state & shared_state,
                                   std::shared_ptr<exchange> incoming)
    : state(shared_state)
    , client(std::move(incoming))
    , chooser(shared_state)
    , deadline_timer(shared_state.io)
    , hedge_timer(shared_state.io)
{
}

void request_dispatch::start()
{
    auto const head = this->state.adapter.read_request(this->client->request);
    this->id = head.id;
    this->time_left = head.time_left.value_or(default_client_timeout);
    this->client->on_cancel(
        [weak = this->weak_from_this()]
        {
            if (auto const self = weak.lock())
            {
                self->handle_cancel();
            }
        });
    this->client->on_stop_review(
        [weak = this->weak_from_this()]
        {
            if (auto const self = weak.lock())
            {
                self->review_stop();
            }
        });
    this->client->on_response_lost(
        [&log = this->state.log, lost = this->id]
        {
            log.write("response_undelivered", {{"id", lost}});
        });
    if (this->has_configuration())
    {
        this->route_request();
        return;
    }
    this->wait_for_configuration(
        loop_now() +
        std::min(max_configuration_wait,
                 std::chrono::duration_cast<duration>(
                     this->time_left * max_configuration_wait_share)));
}

bool request_dispatch::has_configuration() const
{
    auto const & active = this->state.fleet.configuration();
    return active &&
           (!active->requires_accounts || this->state.configuration_age());
}

void request_dispatch::wait_for_configuration(time_point end)
{
    this->deadline_timer.expires_at(std::chrono::steady_clock::time_point(end));
    this->deadline_timer.async_wait(
        [self = this->shared_from_this(), end](boost::system::error_code)
        {
            if (self->done)
            {
                return;
            }
            if (!self->has_configuration() && loop_now() < end)
            {
                // woken by a configuration that is not confirmed yet
                self->wait_for_configuration(end);
            }
            else if (self->state.fleet.configuration())
            {
                self->route_request();
            }
            else
            {
                self->reject("no configuration loaded", default_retry_delay);
            }
        });
    this->state.on_next_configuration(
        [weak = this->weak_from_this()]
        {
            if (auto const self = weak.lock())
            {
                self->deadline_timer.cancel();
            }
        });
}

void request_dispatch::route_request()
{
    this->configuration = this->state.fleet.configuration();
    this->route = this->configuration->find_route(
        host_of(this->client->request),
        std_view(this->client->request.target()));
    if (this->route == nullptr)
    {
        this->fail(http::status::not_found, "no matching route");
        return;
    }
    this->prepare_message();
    if (!this->authenticate())
    {
        return;
    }
    auto const arrival = this->client->arrival;
    auto const stated_time = this->time_left;
    if (this->route->timeout > duration(0))
    {
        this->time_left = std::min(this->time_left, this->route->timeout);
    }
    this->urgency.rank = this->account != nullptr
                             ? this->account->rank.value_or(this->route->rank)
                             : this->route->rank;
    this->urgency.target_time = arrival + this->route->latency_target;
    this->urgency.deadline = arrival + this->time_left;
    if (this->state.target.call_routes().is_call(this->route->name))
    {
        // what counts is whether the request that made the call is answered
        this->urgency.target_time =
            std::max(this->urgency.target_time,
                     arrival + std::chrono::duration_cast<duration>(
                                   this->time_left * usable_call_time_share));
    }
    else
    {
        this->count_from_first_attempt(stated_time);
    }
    this->placements =
        placement_limit(arrival, this->state.mean_service_time(*this->route));
    this->service =
        this->state.splits.choose(*this->route, this->state.random());
    this->state.retry_budget_of(this->service).record_request(loop_now());
    this->state.hedges.record_request();
    if (this->outlives_shutdown())
    {
        this->reject("node_stops", default_retry_delay);
        return;
    }
    if (this->refuse_account_share())
    {
        return;
    }
    this->arm_deadline();
    this->admit();
}

void request_dispatch::count_from_first_attempt(duration stated_time)
{
    auto & ages = this->state.attempt_ages;
    ages.record_arrival(this->route->name, stated_time, loop_now());
    this->urgency.target_time -= ages.age(this->route->name, stated_time);
}

account_name request_dispatch::name_of_account() const
{
    return this->account != nullptr ? this->account->name : account_name();
}

bool request_dispatch::refuse_account_share()
{
    auto const name = this->name_of_account();
    if (name.value().empty())
    {
        return false;
    }
    auto const remaining = this->state.account_backoffs.remaining(
        this->service, name, this->urgency.rank, loop_now());
    if (remaining)
    {
        this->state.metrics.increment("account_share_refusals");
        this->reject("account_share", *remaining);
    }
    return remaining.has_value();
}

void request_dispatch::record_share_refusal()
{
    if (this->share_retry_after)
    {
        this->state.account_backoffs.record_refusal(this->service,
                                                    this->name_of_account(),
                                                    this->urgency.rank,
                                                    *this->share_retry_after,
                                                    loop_now());
    }
}

bool request_dispatch::outlives_shutdown() const
{
    if (!this->state.stopping)
    {
        return false;
    }
    return !this->state.stop.accepts_from_client(
        this->urgency.deadline + deadline_grace,
        this->state.mean_service_time(*this->route),
        loop_now());
}

void request_dispatch::prepare_message()
{
    auto & message = this->client->request;
    // read first, because the client may list any field as one of the
    // connection
    if (this->configuration->requires_accounts)
    {
        this->credentials = this->state.adapter.read_credentials(message);
    }
    remove_connection_fields(message);
    remove_hop_fields(message);
}

// ---------------------------------------------------------------------------
// client account
// ---------------------------------------------------------------------------

bool request_dispatch::authenticate()
{
    auto const & current = this->state.fleet.configuration();
    if (!current->requires_accounts)
    {
        return true;
    }
    if (!this->credentials)
    {
        this->credentials =
            this->state.adapter.read_credentials(this->client->request);
    }
    auto decision = check_account(*current,
                                  *this->credentials,
                                  this->route->is_public,
                                  this->state.configuration_age(),
                                  this->state.account_bounds());
    if (decision.verdict == account_verdict::admitted &&
        this->account != nullptr &&
        decision.account->name != this->account->name)
    {
        // the next attempt of the client runs for the new holder of the key
        decision = {account_verdict::unavailable,
                    account_cause::withdrawn_key,
                    nullptr};
    }
    if (decision.verdict != account_verdict::admitted)
    {
        this->refuse_account(decision);
        return false;
    }
    this->account = decision.account;
    if (this->account_configuration != current)
    {
        this->account_configuration = current;
        this->state.adapter.write_account(
            this->client->request,
            this->account != nullptr ? this->account->name : account_name());
    }
    return true;
}

void request_dispatch::refuse_account(account_decision const & decision)
{
    std::string const cause = to_string(decision.cause);
    bool const is_unauthorized =
        decision.verdict == account_verdict::unauthorized;
    this->state.metrics.increment(
        (is_unauthorized ? "unauthorized_" : "account_unavailable_") + cause);
    this->state.log.write(
        "account_refused",
        {{"id", this->id},
         {"cause", cause},
         {"key",
          this->credentials->kind == credentials_kind::key
              ? short_digest(digest_of_key(this->credentials->key))
              : ""}});
    if (!is_unauthorized || this->fallback_response ||
        this->progress.any_running() || this->progress.may_have_run())
    {
        this->finish_without_answer(cause, default_retry_delay);
        return;
    }
    this->last_reason = cause;
    response_message message{http::status::unauthorized, 11};
    this->state.adapter.write_key_required(message);
    this->respond(std::move(message), "unauthorized");
}

void request_dispatch::admit()
{
    if (this->account == nullptr || this->account->requests_per_second <= 0 ||
        this->state.allotments == nullptr)
    {
        this->place();
        return;
    }
    this->token_account = this->account->name;
    std::uint64_t number = 0;
    auto const patience = std::chrono::duration_cast<duration>(
        (this->urgency.deadline - loop_now()) * max_owner_wait_share);
    auto const verdict = this->state.allotments->begin(
        *this->account,
        patience,
        [self = this->shared_from_this()](allotment_verdict const & decided)
        {
            self->token_number.reset();
            self->handle_allotment(decided);
        },
        number);
    if (verdict)
    {
        this->handle_allotment(*verdict);
        return;
    }
    this->token_number = number;
}

void request_dispatch::handle_allotment(allotment_verdict const & verdict)
{
    switch (verdict.outcome)
    {
    case allotment_outcome::granted:
        this->token = verdict;
        this->place();
        return;
    case allotment_outcome::no_contact:
        this->reject("no contact to the owner of the allotment",
                     verdict.retry_after);
        return;
    case allotment_outcome::exhausted:
        break;
    }
    response_message message{http::status::too_many_requests, 11};
    this->state.adapter.write_retry_after(
        message, std::max(verdict.retry_after, min_retry_delay));
    this->last_reason = "allotment exhausted";
    this->respond(std::move(message), "allotment_exhausted");
}

void request_dispatch::release_token()
{
    if (this->token_number)
    {
        this->state.allotments->cancel(this->token_account,
                                       *this->token_number);
        this->token_number.reset();
    }
    if (this->token && !this->progress.may_have_run() &&
        !this->progress.any_running())
    {
        this->state.allotments->put_back(this->token_account, *this->token);
    }
    this->token.reset();
}

// ---------------------------------------------------------------------------
// choice of a target
// ---------------------------------------------------------------------------

void request_dispatch::place()
{
    if (!this->authenticate())
    {
        return;
    }
    if (loop_now() >= this->urgency.deadline)
    {
        this->handle_deadline();
        return;
    }
    bool const can_place =
        this->placements.allows_placement(this->urgency, loop_now());
    auto chosen = can_place && !this->placement_rounds.is_round_over()
                      ? this->chooser.choose(this->service, *this->route)
                      : std::nullopt;
    if (can_place && !chosen)
    {
        for (auto const & target :
             this->placement_rounds.start_next_round(loop_now()))
        {
            this->chooser.allow_retry(target);
        }
        chosen = this->chooser.choose(this->service, *this->route);
    }
    if (chosen)
    {
        this->start_attempt(*chosen);
        this->arm_hedge();
        return;
    }
    this->record_share_refusal();
    this->finish_without_answer(
        this->last_reason.empty() ? "no target available" : this->last_reason,
        this->min_retry_after.value_or(default_retry_delay));
}

void request_dispatch::arm_hedge()
{
    auto const delay = this->state.hedges.delay(*this->route);
    if (!delay || this->hedged)
    {
        return;
    }
    this->hedge_timer.expires_after(*delay);
    this->hedge_timer.async_wait(
        [weak = this->weak_from_this()](boost::system::error_code error)
        {
            auto const self = weak.lock();
            if (!error && self)
            {
                self->send_hedge();
            }
        });
}

void request_dispatch::send_hedge()
{
    // after silence a second attempt is in progress already
    if (this->done || this->hedged || !this->progress.any_confirmed() ||
        this->progress.running_count() > 1)
    {
        return;
    }
    std::optional<chosen_target> chosen;
    auto const limit = this->choose_hedge(chosen);
    if (limit != hedge_limit::none)
    {
        this->state.metrics.increment(
            absl::StrCat("hedges_refused_", to_string(limit)));
        return;
    }
    this->hedged = true;
    this->state.hedges.record_hedge();
    this->state.metrics.increment("hedges_sent");
    this->state.log.write(
        "request_hedged",
        {{"id", this->id},
         {"route", this->route->name},
         {"target", chosen->entry.id.value()},
         {"after_ms",
          format_milliseconds(loop_now() - this->client->arrival)}});
    this->start_attempt(*chosen, true);
}

hedge_limit
request_dispatch::choose_hedge(std::optional<chosen_target> & chosen)
{
    auto const limit =
        this->state.hedges.check(*this->route,
                                 this->service,
                                 this->urgency.deadline - loop_now(),
                                 this->state.mean_service_time(*this->route),
                                 loop_now());
    if (limit != hedge_limit::none)
    {
        return limit;
    }
    if (!this->name_of_account().value().empty())
    {
        // the request took one token of its account's allotment; a second run
        // needs another one
        return hedge_limit::allotment;
    }
    chosen = this->chooser.choose_with_room(this->service, *this->route);
    if (!chosen)
    {
        return hedge_limit::no_room;
    }
    if (this->progress.possible_arrivals() >= this->route->attempts ||
        !this->try_acquire_retry())
    {
        this->chooser.allow_retry(chosen->entry.id);
        return hedge_limit::retry_budget;
    }
    return hedge_limit::none;
}

void request_dispatch::record_hedge_result(attempt const & answered)
{
    for (auto const & other : this->attempts)
    {
        // an attempt that is overtaken took at least this long
        if (!other->hedge && (other.get() == &answered || !other->finished))
        {
            this->state.hedges.record_response_time(
                *this->route, loop_now() - other->started_at);
        }
    }
    if (this->hedged)
    {
        this->state.metrics.increment(answered.hedge ? "hedges_won"
                                                     : "hedges_lost");
    }
}

void request_dispatch::start_attempt(chosen_target const & chosen, bool hedge)
{
    auto const & entry = chosen.entry;
    dispatch_request request;
    request.message = this->client->request;
    request.id = this->id;
    request.target = entry.id;
    request.service = entry.service;
    request.route = this->route->name;
    request.caller = this->state.settings.service;
    if (this->account != nullptr)
    {
        request.account = this->account->name;
        request.account_key = digest_of_key(this->credentials->key);
        request.account_version = this->account_configuration->version;
    }
    request.urgency = this->urgency;
    request.idempotent = this->route->idempotent;
    request.suspect = this->crashed_targets > 0;
    auto const target_attempt = std::make_shared<attempt>();
    target_attempt->candidate = chosen.candidate;
    target_attempt->index = this->progress.start();
    target_attempt->slow_action =
        hedge ? slow_target_action::decline
              : this->placement_rounds.next_action(loop_now());
    target_attempt->started_at = loop_now();
    target_attempt->hedge = hedge;
    request.hedge = hedge;
    request.slow_action = target_attempt->slow_action;
    this->placements.record_placement();
    this->attempts.push_back(target_attempt);
    target_runner & runner =
        chosen.candidate.local
            ? static_cast<target_runner &>(this->state.target)
            : this->state.peer(entry.peer);
    target_attempt->control = runner.run(
        std::move(request),
        [self = this->shared_from_this(),
         target_attempt](dispatch_result result)
        {
            self->handle_result(target_attempt, std::move(result));
        },
        [weak = this->weak_from_this(), target_attempt]
        {
            if (auto const self = weak.lock())
            {
                self->handle_silence(target_attempt);
            }
        });
}

// ---------------------------------------------------------------------------
// results
// ---------------------------------------------------------------------------

void request_dispatch::handle_result(attempt_ptr const & target_attempt,
                                     dispatch_result result)
{
    target_attempt->finished = true;
    if (this->done)
    {
        return;
    }
    switch (result.outcome)
    {
    case dispatch_outcome::answered:
        this->handle_answer(target_attempt, std::move(result));
        return;
    case dispatch_outcome::refused:
        this->handle_refusal(target_attempt, result);
        return;
    case dispatch_outcome::indeterminate:
        this->handle_indeterminate(target_attempt, result);
        return;
    }
}

void request_dispatch::handle_silence(attempt_ptr const & target_attempt)
{
    if (this->done || target_attempt->finished)
    {
        return;
    }
    dispatch_result silence;
    silence.reason = "no sign of the request from its node";
    this->trace.add(target_attempt->candidate, silence, "silent");
    this->progress.record_silence(target_attempt->index);
    if (!this->progress.any_confirmed() && this->route->idempotent &&
        this->try_acquire_retry())
    {
        this->place();
    }
}

void request_dispatch::handle_answer(attempt_ptr const & target_attempt,
                                     dispatch_result result)
{
    this->progress.record_answer(target_attempt->index);
    bool const failed =
        result.response.result_int() >=
        static_cast<unsigned>(http::status::internal_server_error);
    this->trace.add(
        target_attempt->candidate, result, failed ? "failed" : "answered");
    if (failed && this->progress.any_confirmed())
    {
        this->fallback_response = std::move(result.response);
        return;
    }
    if (failed && this->route->idempotent && this->try_acquire_retry())
    {
        this->fallback_response = std::move(result.response);
        this->place();
        return;
    }
    if (!failed)
    {
        this->record_hedge_result(*target_attempt);
        this->state.account_backoffs.record_answer(
            this->service, this->name_of_account(), loop_now());
        this->state.record_service_time(*this->route,
                                        result.run_time,
                                        result.load ? result.load->slowdown
                                                    : 1);
    }
    this->respond(std::move(result.response),
                  failed ? "failed_by_target" : "answered");
}

void request_dispatch::handle_refusal(attempt_ptr const & target_attempt,
                                      dispatch_result const & result)
{
    this->trace.add(target_attempt->candidate, result, "refused");
    this->progress.record_refusal(target_attempt->index, result.reached_target);
    this->last_reason = result.reason;
    if (target_attempt->hedge)
    {
        this->state.metrics.increment("hedges_refused_by_target");
    }
    else
    {
        this->placements.record_refusal(result.refusal);
        this->record_overload(result.refusal);
    }
    if (result.refusal == admission_refusal::slow)
    {
        this->placement_rounds.record_decline(target_attempt->candidate.id,
                                              target_attempt->slow_action);
    }
    if (result.share_used)
    {
        this->share_retry_after = std::max(
            this->share_retry_after.value_or(duration(0)), result.retry_after);
    }
    if (result.retry_after > duration(0))
    {
        this->min_retry_after =
            std::min(this->min_retry_after.value_or(result.retry_after),
                     result.retry_after);
    }
    if (this->progress.any_confirmed())
    {
        return;
    }
    if (result.refusal == admission_refusal::crashing)
    {
        this->refuse_crashing(result);
        return;
    }
    if (result.reached_target && !this->try_acquire_retry())
    {
        this->finish_without_answer(
            "shed by target; no retry left",
            this->min_retry_after.value_or(default_retry_delay));
        return;
    }
    this->place();
}

void request_dispatch::record_overload(admission_refusal refusal)
{
    if (refusal == admission_refusal::busy ||
        refusal == admission_refusal::cold ||
        refusal == admission_refusal::limited)
    {
        this->state.hedges.record_overload(this->service, loop_now());
    }
}

void request_dispatch::handle_indeterminate(attempt_ptr const & target_attempt,
                                            dispatch_result const & result)
{
    this->trace.add(target_attempt->candidate, result, "indeterminate");
    this->progress.record_unknown_outcome(target_attempt->index,
                                          result.reached_target);
    this->crashed_targets += result.target_crashed ? 1 : 0;
    this->last_reason = result.reason;
    if (this->progress.any_confirmed())
    {
        return;
    }
    if (this->route->idempotent && this->try_acquire_retry())
    {
        this->place();
        return;
    }
    this->finish_without_answer(result.reason, default_retry_delay);
}

void request_dispatch::refuse_crashing(dispatch_result const & result)
{
    if (this->progress.may_have_run())
    {
        this->finish_without_answer(result.reason, default_retry_delay);
        return;
    }
    // every target refuses the request until its quarantine ends
    this->send_refusal(result.reason, result.retry_after);
}

void request_dispatch::finish_without_answer(std::string const & reason,
                                             duration retry_delay)
{
    if (this->progress.any_running())
    {
        return;
    }
    if (this->fallback_response)
    {
        this->respond(std::move(*this->fallback_response), "failed_by_target");
        return;
    }
    this->reject(reason, retry_delay);
}

bool request_dispatch::try_acquire_retry()
{
    return this->progress.arrivals() < this->route->attempts &&
           this->crashed_targets < max_crashed_targets &&
           loop_now() + this->state.mean_service_time(*this->route) <
               this->urgency.deadline &&
           this->state.retry_budget_of(this->service)
               .try_spend(loop_now(), this->state.fleet.node_count());
}

// ---------------------------------------------------------------------------
// completion
// ---------------------------------------------------------------------------

void request_dispatch::arm_deadline()
{
    this->deadline_timer.expires_at(std::chrono::steady_clock::time_point(
        this->urgency.deadline + deadline_grace));
    this->deadline_timer.async_wait(
        [weak = this->weak_from_this()](boost::system::error_code error)
        {
            auto const self = weak.lock();
            if (!error && self)
            {
                self->handle_deadline();
            }
        });
}

void request_dispatch::handle_deadline()
{
    if (this->done)
    {
        return;
    }
    if (this->fallback_response)
    {
        this->respond(std::move(*this->fallback_response), "failed_by_target");
        return;
    }
    this->last_reason = "deadline";
    if (this->progress.may_have_run())
    {
        this->fail(http::status::gateway_timeout, "deadline");
    }
    else
    {
        this->reject("deadline", default_retry_delay);
    }
}

void request_dispatch::handle_cancel()
{
    if (this->done)
    {
        return;
    }
    this->done = true;
    this->deadline_timer.cancel();
    this->release_token();
    this->hedge_timer.cancel();
    this->cancel_attempts();
    this->log_result("client_left", 0);
}

void request_dispatch::cancel_attempts()
{
    for (auto const & target_attempt : this->attempts)
    {
        if (!target_attempt->finished && target_attempt->control.cancel)
        {
            target_attempt->finished = true;
            target_attempt->control.cancel();
        }
    }
}

// ---------------------------------------------------------------------------
// stop of the process
// ---------------------------------------------------------------------------

void request_dispatch::review_stop()
{
    auto const now = loop_now();
    auto const & stop = this->state.stop;
    auto const mean_run_time = this->route != nullptr
                                   ? this->state.mean_service_time(*this->route)
                                   : duration(0);
    if (!stop.can_complete(mean_run_time, now))
    {
        this->withdraw_attempts();
        if (!this->progress.any_running())
        {
            this->finish_without_answer("node_stops", default_retry_delay);
            return;
        }
    }
    if (now >= stop.conclusion)
    {
        // one that is not answered would hold back the responses behind it
        this->finish_before_stop();
    }
}

void request_dispatch::finish_before_stop()
{
    if (this->fallback_response)
    {
        this->respond(std::move(*this->fallback_response), "failed_by_target");
        return;
    }
    this->reject("node_stops", default_retry_delay);
}

void request_dispatch::withdraw_attempts()
{
    for (auto const & target_attempt : this->attempts)
    {
        if (!target_attempt->finished && target_attempt->control.withdraw &&
            target_attempt->control.withdraw())
        {
            target_attempt->finished = true;
            this->progress.record_refusal(target_attempt->index, false);
        }
    }
}

void request_dispatch::respond(response_message message, char const * outcome)
{
    if (this->done)
    {
        return;
    }
    this->done = true;
    this->deadline_timer.cancel();
    this->release_token();
    this->hedge_timer.cancel();
    this->cancel_attempts();
    unsigned const status = message.result_int();
    this->record_failed_call(status);
    if (this->route != nullptr &&
        message.result() == http::status::service_unavailable)
    {
        this->state.attempt_ages.record_refusal(this->route->name, loop_now());
    }
    message.keep_alive(true);
    if (this->client->request.method() != http::verb::head)
    {
        message.prepare_payload();
    }
    this->client->respond(std::move(message));
    this->log_result(outcome, status);
}

void request_dispatch::record_failed_call(unsigned status)
{
    if (this->route != nullptr &&
        status >= static_cast<unsigned>(http::status::internal_server_error))
    {
        this->state.target.call_routes().record_refusal(this->route->name,
                                                        loop_now());
    }
}

void request_dispatch::reject(std::string const & reason, duration wait)
{
    if (this->progress.may_have_run())
    {
        // a refusal would state that the request did not run
        this->fail(http::status::bad_gateway, reason);
        return;
    }
    auto const bounded = std::clamp(wait, min_retry_delay, max_retry_delay);
    this->send_refusal(
        reason,
        std::chrono::duration_cast<duration>(
            bounded * (1 + retry_jitter * this->state.random())));
}

void request_dispatch::send_refusal(std::string const & reason,
                                    duration retry_after)
{
    response_message message{http::status::service_unavailable, 11};
    this->state.adapter.write_retry_after(message, retry_after);
    this->last_reason = reason;
    this->respond(std::move(message), "refused");
}

void request_dispatch::fail(http::status status, std::string const & reason)
{
    this->last_reason = reason;
    this->respond(response_message{status, 11},
                  status == http::status::not_found ? "no_route"
                                                    : "indeterminate");
}

void request_dispatch::log_result(char const * outcome, unsigned status)
{
    auto const elapsed = loop_now() - this->client->arrival;
    std::string const name =
        this->route == nullptr ? "none" : this->route->name;
    this->state.metrics.record_request(name, outcome, elapsed);
    this->state.log.write(
        "request_done",
        {{"id", this->id},
         {"route", name},
         {"rank", absl::StrCat(this->urgency.rank)},
         {"service", this->service.value()},
         {"account",
          this->account != nullptr ? this->account->name.value() : ""},
         {"outcome", outcome},
         {"status", absl::StrCat(status)},
         {"took_ms", format_milliseconds(elapsed)},
         {"version",
          absl::StrCat(this->configuration ? this->configuration->version : 0)},
         {"reason", this->last_reason},
         {"targets", this->trace.text()}});
}

} // namespace endivehinge::detail

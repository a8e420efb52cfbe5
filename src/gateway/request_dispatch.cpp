#include <endivehinge/detail/gateway/request_dispatch.hpp>

#include <algorithm> // clamp, min

#include <absl/strings/str_cat.h> // StrCat

#include <endivehinge/detail/gateway/hop_fields.hpp>
#include <endivehinge/detail/gateway/loop_time.hpp>

namespace endivehinge::detail
{

namespace http = boost::beast::http;

namespace
{

// placements of one request, refused ones included; bounds the work that one
// request may cause
constexpr std::uint32_t largest_placements = 24;
// a client that states no time to wait is served within this one
constexpr duration longest_wait = std::chrono::seconds(30);
// a target that reaches the deadline responds by itself; this lets it
constexpr duration deadline_grace = std::chrono::milliseconds(80);
// bounds of the wait that a refusal states
constexpr duration shortest_retry = std::chrono::milliseconds(50);
constexpr duration longest_retry = std::chrono::milliseconds(1000);
// the wait where nothing is known
constexpr duration usual_retry = std::chrono::milliseconds(200);
// a request that arrives so shortly before the process ends is only taken
// where its deadline is earlier; clients have been told to leave by then
constexpr duration late_stop = std::chrono::milliseconds(2900);
// spread over which refused clients come back, relative to the wait
constexpr double retry_spread = 0.5;

std::string_view host_of(request_message const & message)
{
    auto const host = std_view(message[http::field::host]);
    return host.substr(0, host.find(':'));
}

} // namespace

request_dispatch::request_dispatch(gateway_state & shared,
                                   std::shared_ptr<exchange> incoming)
    : state(shared)
    , client(std::move(incoming))
    , chooser(shared)
    , deadline_timer(shared.io)
{
}

void request_dispatch::start()
{
    auto const head = this->state.adapter.read_request(this->client->request);
    this->id = head.id;
    this->configuration = this->state.fleet.configuration();
    if (!this->configuration)
    {
        this->reject("no configuration is known", usual_retry);
        return;
    }
    this->route = this->configuration->find_route(
        host_of(this->client->request),
        std_view(this->client->request.target()));
    if (this->route == nullptr)
    {
        this->fail(http::status::not_found, "no route");
        return;
    }
    auto const arrival = this->client->arrival;
    auto left = head.time_left.value_or(longest_wait);
    if (this->route->timeout > duration(0))
    {
        left = std::min(left, this->route->timeout);
    }
    this->urgency.rank = this->route->rank;
    this->urgency.target_time = arrival + this->route->latency_target;
    this->urgency.deadline = arrival + left;
    this->service =
        this->state.splits.choose(*this->route, this->state.random());
    this->state.retry_budget_of(this->service).record_request(loop_now());
    if (this->outlasts_process())
    {
        this->reject("node_stops", usual_retry);
        return;
    }
    this->prepare_message();
    this->client->on_cancel(
        [weak = this->weak_from_this()]
        {
            if (auto const self = weak.lock())
            {
                self->cancelled();
            }
        });
    this->arm_deadline();
    this->place();
}

bool request_dispatch::outlasts_process() const
{
    if (!this->state.stopping)
    {
        return false;
    }
    auto const end = this->state.stop_deadline;
    bool const arrived_late = end - this->client->arrival < late_stop;
    bool const may_run_longer = this->urgency.deadline > end;
    return arrived_late && may_run_longer;
}

void request_dispatch::prepare_message()
{
    auto & message = this->client->request;
    remove_connection_fields(message);
    remove_hop_fields(message);
}

// ---------------------------------------------------------------------------
// placing
// ---------------------------------------------------------------------------

void request_dispatch::place()
{
    if (loop_now() >= this->urgency.deadline)
    {
        this->deadline_passed();
        return;
    }
    bool const may_place = this->placements < largest_placements;
    auto chosen = may_place ? this->chooser.choose(this->service, *this->route)
                            : std::nullopt;
    if (may_place && !chosen)
    {
        for (auto const & slow : this->rounds.start_next_round(loop_now()))
        {
            this->chooser.offer_again(slow);
        }
        chosen = this->chooser.choose(this->service, *this->route);
    }
    if (chosen)
    {
        this->run_on(*chosen);
        return;
    }
    if (this->fallback)
    {
        this->respond(std::move(*this->fallback), "failed_by_target");
        return;
    }
    this->reject(this->last_reason.empty() ? "no target" : this->last_reason,
                 this->shortest_wait.value_or(usual_retry));
}

void request_dispatch::run_on(chosen_target const & chosen)
{
    auto const & entry = chosen.entry;
    dispatch_request request;
    request.message = this->client->request;
    request.id = this->id;
    request.target = entry.id;
    request.route = this->route->name;
    request.caller = this->state.settings.service;
    request.urgency = this->urgency;
    request.idempotent = this->route->idempotent;
    auto const one = std::make_shared<attempt>();
    one->known = chosen.known;
    one->slow_target = this->rounds.next_action(loop_now());
    request.slow_target = one->slow_target;
    this->placements += 1;
    this->attempts.push_back(one);
    target_runner & runner =
        chosen.known.local ? static_cast<target_runner &>(this->state.target)
                           : this->state.peer(entry.peer);
    one->cancel = runner.run(
        std::move(request),
        [self = this->shared_from_this(), one](dispatch_result result)
        {
            self->ended(one, std::move(result));
        });
}

// ---------------------------------------------------------------------------
// results
// ---------------------------------------------------------------------------

void request_dispatch::ended(attempt_pointer const & one,
                             dispatch_result result)
{
    one->finished = true;
    if (this->done)
    {
        return;
    }
    this->arrivals += result.reached_target ? 1 : 0;
    switch (result.outcome)
    {
    case dispatch_outcome::answered:
        this->answered(one, std::move(result));
        return;
    case dispatch_outcome::refused:
        this->refused(one, result);
        return;
    case dispatch_outcome::indeterminate:
        this->indeterminate(one, result);
        return;
    }
}

void request_dispatch::answered(attempt_pointer const & one,
                                dispatch_result result)
{
    bool const failed =
        result.response.result_int() >=
        static_cast<unsigned>(http::status::internal_server_error);
    this->story.add(one->known, result, failed ? "failed" : "answered");
    if (failed && this->route->idempotent && this->may_repeat())
    {
        this->fallback = std::move(result.response);
        this->place();
        return;
    }
    if (!failed)
    {
        this->state.record_service_time(
            *this->route, result.ran, result.load ? result.load->slowdown : 1);
    }
    this->respond(std::move(result.response),
                  failed ? "failed_by_target" : "answered");
}

void request_dispatch::refused(attempt_pointer const & one,
                               dispatch_result const & result)
{
    this->story.add(one->known, result, "refused");
    this->last_reason = result.reason;
    if (result.refusal == admission_refusal::slow)
    {
        this->rounds.record_decline(one->known.id, one->slow_target);
    }
    if (result.retry_after > duration(0))
    {
        this->shortest_wait =
            std::min(this->shortest_wait.value_or(result.retry_after),
                     result.retry_after);
    }
    if (result.reached_target && !this->may_repeat())
    {
        this->reject("shed, no repeat left",
                     this->shortest_wait.value_or(usual_retry));
        return;
    }
    this->place();
}

void request_dispatch::indeterminate(attempt_pointer const & one,
                                     dispatch_result const & result)
{
    this->story.add(one->known, result, "indeterminate");
    this->may_have_run = true;
    this->last_reason = result.reason;
    if (this->route->idempotent && this->may_repeat())
    {
        this->place();
        return;
    }
    if (this->fallback)
    {
        this->respond(std::move(*this->fallback), "failed_by_target");
        return;
    }
    this->fail(http::status::bad_gateway, result.reason);
}

bool request_dispatch::may_repeat()
{
    return this->arrivals < this->route->attempts &&
           loop_now() + this->state.mean_service_time(*this->route) <
               this->urgency.deadline &&
           this->state.retry_budget_of(this->service)
               .try_spend(loop_now(), this->state.fleet.node_count());
}

// ---------------------------------------------------------------------------
// the end
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
                self->deadline_passed();
            }
        });
}

void request_dispatch::deadline_passed()
{
    if (this->done)
    {
        return;
    }
    if (this->fallback)
    {
        this->respond(std::move(*this->fallback), "failed_by_target");
        return;
    }
    bool running = false;
    for (auto const & one : this->attempts)
    {
        running = running || !one->finished;
    }
    this->last_reason = "deadline";
    if (running || this->may_have_run)
    {
        this->fail(http::status::gateway_timeout, "deadline");
    }
    else
    {
        this->reject("deadline", usual_retry);
    }
}

void request_dispatch::cancelled()
{
    if (this->done)
    {
        return;
    }
    this->done = true;
    this->deadline_timer.cancel();
    this->cancel_attempts();
    this->log_end("client_left", 0);
}

void request_dispatch::cancel_attempts()
{
    for (auto const & one : this->attempts)
    {
        if (!one->finished && one->cancel)
        {
            one->finished = true;
            one->cancel();
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
    this->cancel_attempts();
    unsigned const status = message.result_int();
    message.keep_alive(true);
    if (this->client->request.method() != http::verb::head)
    {
        message.prepare_payload();
    }
    this->client->respond(std::move(message));
    this->log_end(outcome, status);
}

void request_dispatch::reject(std::string const & reason, duration wait)
{
    if (this->may_have_run)
    {
        // a refusal would say that it has not run
        this->fail(http::status::bad_gateway, reason);
        return;
    }
    response_message message{http::status::service_unavailable, 11};
    auto const bounded = std::clamp(wait, shortest_retry, longest_retry);
    auto const spread = std::chrono::duration_cast<duration>(
        bounded * (1 + retry_spread * this->state.random()));
    this->state.adapter.write_retry_after(message, spread);
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

void request_dispatch::log_end(char const * outcome, unsigned status)
{
    auto const took = loop_now() - this->client->arrival;
    std::string const name =
        this->route == nullptr ? "none" : this->route->name;
    this->state.metrics.ended(name, outcome, took);
    this->state.log.write(
        "request_done",
        {{"id", this->id},
         {"route", name},
         {"rank", absl::StrCat(this->urgency.rank)},
         {"service", this->service.value()},
         {"outcome", outcome},
         {"status", absl::StrCat(status)},
         {"took_ms", format_milliseconds(took)},
         {"version",
          absl::StrCat(this->configuration ? this->configuration->version : 0)},
         {"reason", this->last_reason},
         {"targets", this->story.text()}});
}

} // namespace endivehinge::detail

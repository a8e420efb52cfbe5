#include <endivehinge/detail/node/target_client.hpp>

#include <algorithm> // max
#include <utility>   // move

#include <absl/strings/str_cat.h> // StrCat
#include <absl/time/clock.h>      // SleepFor
#include <absl/time/time.h>       // FromChrono

#include <endivehinge/core/header_names.hpp>

namespace endivehinge::detail
{
namespace
{

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr duration rejection_retry_after = milliseconds(50);
constexpr duration connection_check_timeout = milliseconds(100);
// Requests that are not idempotent only reuse a connection that was used within
// this time, since it is assumed to be intact.
constexpr duration max_idle_time_without_retry = milliseconds(500);
constexpr duration min_hedge_delay = milliseconds(100);
constexpr int hedge_delay_latency_factor = 8;
constexpr duration race_poll_interval = milliseconds(5);
// defaults until the configuration has been received
constexpr double default_hedge_share = 0.05;
constexpr duration default_check_interval = milliseconds(250);
constexpr double hedge_burst = 4;

http_request make_target_request(request const & admitted, time_point now)
{
    http_request message = admitted.message;
    auto const remaining_time =
        duration_cast<milliseconds>(admitted.deadline - now);
    message.headers.set(header_names::request_id, admitted.id.value());
    message.headers.set(header_names::timeout_ms,
                        absl::StrCat(remaining_time.count()));
    message.headers.set(header_names::depth, absl::StrCat(admitted.depth));
    message.headers.set(header_names::priority,
                        absl::StrCat("u=", static_cast<int>(admitted.urgency)));
    return message;
}

// A target that sheds a request reports in a header that it did not run it.
bool was_shed(http_response const & response)
{
    std::string const * const reported_outcome =
        response.headers.find(header_names::outcome);
    return reported_outcome != nullptr &&
           *reported_outcome == to_string(outcome_kind::rejected);
}

} // namespace

target_client::target_client(http_client & shared_client,
                             clock const & time_source)
    : client(shared_client)
    , time(time_source)
    , hedge_budget(default_hedge_share, hedge_burst)
    , hedge_share(default_hedge_share)
    , check_interval(default_check_interval)
{
}

outcome target_client::execute(endpoint const & address,
                               request const & admitted,
                               duration typical_latency,
                               int caller_socket)
{
    {
        absl::MutexLock lock(&this->mutex);
        this->hedge_budget.record_request(attempt_origin::first);
    }
    http_call original_call =
        this->begin_call(address, admitted, false, caller_socket);
    duration const remaining_time = admitted.deadline - this->time.now();
    duration const hedge_delay =
        std::max(min_hedge_delay, hedge_delay_latency_factor * typical_latency);
    // Hedges at several depths of a call chain would multiply. Only the first
    // request of a chain is hedged, which repeats the entire chain.
    bool const hedging_allowed =
        admitted.repeatable && !admitted.suspect && admitted.depth == 0;
    if (!original_call.wait(hedging_allowed
                                ? std::min(hedge_delay, remaining_time)
                                : remaining_time) &&
        hedging_allowed && hedge_delay < remaining_time && this->may_hedge())
    {
        return this->await_either(
            std::move(original_call),
            this->begin_call(address, admitted, true, caller_socket),
            address);
    }
    static_cast<void>(original_call.wait(admitted.deadline - this->time.now()));
    return this->read_outcome(original_call, address);
}

void target_client::set_extra_request_limits(double new_hedge_share,
                                             double checks_per_second)
{
    absl::MutexLock lock(&this->mutex);
    this->check_interval = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(1 / checks_per_second));
    if (new_hedge_share != this->hedge_share)
    {
        this->hedge_share = new_hedge_share;
        this->hedge_budget = retry_budget(new_hedge_share, hedge_burst);
    }
}

bool target_client::is_unreachable(endpoint const & address)
{
    time_point const requested_at = this->time.now();
    duration interval(0);
    {
        absl::MutexLock lock(&this->mutex);
        interval = this->check_interval;
    }
    absl::MutexLock lock(&this->check_mutex);
    if (this->last_check_time.has_value() &&
        *this->last_check_time >= requested_at)
    {
        return this->last_check_unreachable;
    }
    if (this->last_check_time.has_value())
    {
        absl::SleepFor(absl::FromChrono(*this->last_check_time + interval -
                                        this->time.now()));
    }
    this->last_check_time = this->time.now();
    this->last_check_unreachable = this->check_unreachable(address);
    return this->last_check_unreachable;
}

bool target_client::check_unreachable(endpoint const & address)
{
    http_exchange_options options;
    options.timeout = connection_check_timeout;
    options.fresh_connection = true;
    http_exchange_report report;
    failure reason;
    auto const response = this->client.exchange(
        address, {"GET", "/load", {}, {}}, options, report, reason);
    return !response.has_value() && reason.id == failure_id::connect_failed;
}

http_call target_client::begin_call(endpoint const & address,
                                    request const & admitted,
                                    bool fresh_connection,
                                    int caller_socket)
{
    time_point const now = this->time.now();
    http_exchange_options options;
    options.timeout = admitted.deadline - now;
    options.fresh_connection = fresh_connection;
    options.watched_socket = caller_socket;
    if (!admitted.repeatable)
    {
        options.longest_idle = max_idle_time_without_retry;
    }
    return this->client.begin(
        address, make_target_request(admitted, now), options);
}

outcome target_client::read_outcome(http_call & completed_call,
                                    endpoint const & address)
{
    failure reason;
    auto response = completed_call.take(reason);
    if (!response.has_value())
    {
        if (reason.id == failure_id::timed_out)
        {
            // Other idle connections may be broken too if this one timed out.
            this->client.forget(address);
        }
        reason.step = "run on target";
        return completed_call.was_sent()
                   ? outcome::indeterminate(std::move(reason))
                   : outcome::rejected(std::move(reason),
                                       rejection_retry_after);
    }
    if (was_shed(*response))
    {
        return outcome::rejected({failure_id::overloaded,
                                  "run on target",
                                  address.to_string(),
                                  "the target shed the request"},
                                 rejection_retry_after);
    }
    return outcome::answered(*std::move(response));
}

// Returns the first response; if one call fails, waits for the other.
outcome target_client::await_either(http_call original_call,
                                    http_call hedged_call,
                                    endpoint const & address)
{
    bool original_completed = false;
    bool hedge_completed = false;
    outcome result;
    while (!original_completed || !hedge_completed)
    {
        if (!hedge_completed && hedged_call.wait(race_poll_interval))
        {
            hedge_completed = true;
            result = this->read_outcome(hedged_call, address);
        }
        else if (!original_completed && original_call.wait(race_poll_interval))
        {
            original_completed = true;
            result = this->read_outcome(original_call, address);
        }
        if ((original_completed || hedge_completed) &&
            result.kind == outcome_kind::answered)
        {
            if (!original_completed)
            {
                // The original call used an idle connection and got no
                // response; the other idle connections are equally old and may
                // be broken.
                this->client.forget(address);
            }
            return result;
        }
    }
    // The target may have run the request that either call carried.
    return outcome::indeterminate(std::move(result.reason));
}

bool target_client::may_hedge()
{
    absl::MutexLock lock(&this->mutex);
    return this->hedge_budget.try_spend();
}

} // namespace endivehinge::detail

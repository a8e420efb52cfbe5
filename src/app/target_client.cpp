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

constexpr duration refusal_retry_after = milliseconds(50);
constexpr duration death_check_timeout = milliseconds(100);
// a connection used within this time is taken to work
constexpr duration trusted_idle_time = milliseconds(500);
constexpr duration least_wait_before_second = milliseconds(100);
constexpr int usual_latencies_before_second = 8;
constexpr duration race_step = milliseconds(5);
// until the configuration is there
constexpr double first_second_send_share = 0.05;
constexpr duration first_check_interval = milliseconds(250);
constexpr double second_send_burst = 4;

http_request make_target_request(request const & admitted, time_point now)
{
    http_request message = admitted.message;
    auto const left = duration_cast<milliseconds>(admitted.deadline - now);
    message.headers.set(header_names::request_id, admitted.id.value());
    message.headers.set(header_names::timeout_ms, absl::StrCat(left.count()));
    message.headers.set(header_names::depth, absl::StrCat(admitted.depth));
    message.headers.set(header_names::priority,
                        absl::StrCat("u=", static_cast<int>(admitted.urgency)));
    return message;
}

// a target that sheds says itself that it did not run the request
bool was_shed(http_response const & response)
{
    std::string const * const said =
        response.headers.find(header_names::outcome);
    return said != nullptr && *said == to_string(outcome_kind::rejected);
}

} // namespace

target_client::target_client(http_client & exchanges, clock const & source)
    : client(exchanges)
    , time(source)
    , second_sends(first_second_send_share, second_send_burst)
    , second_send_share(first_second_send_share)
    , check_interval(first_check_interval)
{
}

outcome target_client::run(endpoint const & address,
                           request const & admitted,
                           duration usual_latency,
                           int caller_socket)
{
    {
        absl::MutexLock lock(&this->mutex);
        this->second_sends.record_request(attempt_origin::first);
    }
    http_call first = this->begin(address, admitted, false, caller_socket);
    duration const whole = admitted.deadline - this->time.now();
    duration const patience =
        std::max(least_wait_before_second,
                 usual_latencies_before_second * usual_latency);
    // deeper in a chain a second send would multiply with those above it, and
    // the one at the top makes the whole chain anew
    bool const may_repeat =
        admitted.repeatable && !admitted.suspect && admitted.depth == 0;
    if (!first.wait(may_repeat ? std::min(patience, whole) : whole) &&
        may_repeat && patience < whole && this->may_send_again())
    {
        return this->race(std::move(first),
                          this->begin(address, admitted, true, caller_socket),
                          address);
    }
    static_cast<void>(first.wait(admitted.deadline - this->time.now()));
    return this->read(first, address);
}

void target_client::set_extra_request_limits(double share,
                                             double checks_per_second)
{
    absl::MutexLock lock(&this->mutex);
    this->check_interval = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(1 / checks_per_second));
    if (share != this->second_send_share)
    {
        this->second_send_share = share;
        this->second_sends = retry_budget(share, second_send_burst);
    }
}

bool target_client::is_gone(endpoint const & address)
{
    time_point const asked = this->time.now();
    duration interval(0);
    {
        absl::MutexLock lock(&this->mutex);
        interval = this->check_interval;
    }
    absl::MutexLock lock(&this->check_mutex);
    if (this->checked.has_value() && *this->checked >= asked)
    {
        return this->found_gone;
    }
    if (this->checked.has_value())
    {
        absl::SleepFor(
            absl::FromChrono(*this->checked + interval - this->time.now()));
    }
    this->checked = this->time.now();
    this->found_gone = this->check_is_gone(address);
    return this->found_gone;
}

bool target_client::check_is_gone(endpoint const & address)
{
    http_exchange_options options;
    options.timeout = death_check_timeout;
    options.fresh_connection = true;
    http_exchange_report report;
    failure reason;
    auto const response = this->client.exchange(
        address, {"GET", "/load", {}, {}}, options, report, reason);
    return !response.has_value() && reason.id == failure_id::connect_failed;
}

http_call target_client::begin(endpoint const & address,
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
        options.longest_idle = trusted_idle_time;
    }
    return this->client.begin(
        address, make_target_request(admitted, now), options);
}

outcome target_client::read(http_call & ended, endpoint const & address)
{
    failure reason;
    auto response = ended.take(reason);
    if (!response.has_value())
    {
        if (reason.id == failure_id::timed_out)
        {
            // the connections beside this one may have gone silent with it
            this->client.forget(address);
        }
        reason.step = "run on target";
        return ended.was_sent()
                   ? outcome::indeterminate(std::move(reason))
                   : outcome::rejected(std::move(reason), refusal_retry_after);
    }
    if (was_shed(*response))
    {
        return outcome::rejected({failure_id::overloaded,
                                  "run on target",
                                  address.to_string(),
                                  "the target shed the request"},
                                 refusal_retry_after);
    }
    return outcome::answered(*std::move(response));
}

// the first answer counts; a send that ended without one leaves the other
outcome
target_client::race(http_call first, http_call second, endpoint const & address)
{
    bool first_ended = false;
    bool second_ended = false;
    outcome result;
    while (!first_ended || !second_ended)
    {
        if (!second_ended && second.wait(race_step))
        {
            second_ended = true;
            result = this->read(second, address);
        }
        else if (!first_ended && first.wait(race_step))
        {
            first_ended = true;
            result = this->read(first, address);
        }
        if ((first_ended || second_ended) &&
            result.kind == outcome_kind::answered)
        {
            if (!first_ended)
            {
                // the idle connections are as old as the silent one
                this->client.forget(address);
            }
            return result;
        }
    }
    // one of the sends may have run
    return outcome::indeterminate(std::move(result.reason));
}

bool target_client::may_send_again()
{
    absl::MutexLock lock(&this->mutex);
    return this->second_sends.try_spend();
}

} // namespace endivehinge::detail

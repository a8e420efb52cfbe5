#include <common/caller.hpp>

#include <absl/strings/numbers.h> // SimpleAtoi
#include <absl/strings/str_cat.h> // StrCat
#include <absl/time/clock.h>      // SleepFor
#include <nlohmann/json.hpp>      // json

#include <common/answer_report.hpp>
#include <common/body_digest.hpp>
#include <endivehinge/core/header_names.hpp>

namespace endivehinge::tools
{
namespace
{

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// an answer is waited for so long after the deadline
constexpr duration slack = std::chrono::seconds(3);
constexpr duration pause_after_loss = milliseconds(20);
constexpr int most_tries = 50;
constexpr int milliseconds_per_second = 1000;

std::string text_of(http_response const & response, char const * name)
{
    auto const * const value = response.headers.find(name);
    return value == nullptr ? std::string() : *value;
}

// the finer time of the problem details, or the header's seconds
duration retry_after(http_response const & response)
{
    auto const problem = nlohmann::json::parse(response.body, nullptr, false);
    std::int64_t seconds = 0;
    static_cast<void>(absl::SimpleAtoi(
        text_of(response, header_names::retry_after), &seconds));
    if (problem.is_object())
    {
        return milliseconds(
            problem.value("retry_after_ms", seconds * milliseconds_per_second));
    }
    return std::chrono::seconds(seconds);
}

bool may_send_again(call_plan const & plan)
{
    return plan.kind.repeatable || !plan.key.value().empty();
}

http_request
make_request(call_plan const & plan, std::string const & attempt, duration left)
{
    request_marks marks;
    marks.call = plan.call;
    marks.attempt = attempt;
    marks.chain = plan.kind.chain;
    marks.payload_bytes = plan.answer_bytes;
    http_request message;
    message.method = plan.kind.method;
    message.path = absl::StrCat(
        "/", plan.kind.service.value(), plan.kind.path, write_marks(marks));
    message.body = plan.body;
    message.headers.set(
        header_names::timeout_ms,
        absl::StrCat(duration_cast<milliseconds>(left).count()));
    if (!plan.key.value().empty())
    {
        message.headers.set(header_names::idempotency_key, plan.key.value());
    }
    return message;
}

} // namespace

caller::caller(ingress_list const & all,
               history_log & log,
               call_mix & draws,
               clock const & source)
    : nodes(all)
    , history(log)
    , mix(draws)
    , time(source)
{
}

call_end caller::make(call_plan const & plan)
{
    time_point const now = this->time.now();
    progress call{plan, now, now + plan.kind.deadline};
    this->last_id.clear();
    this->history.append(this->record(call, history_event::invoke));
    while (this->try_once(call))
    {
    }
    return {this->last_end, this->time.now() - call.begin};
}

// whether the call goes on
bool caller::try_once(progress & call)
{
    duration const left = call.deadline - this->time.now();
    if (left <= duration(0) || call.tries >= most_tries)
    {
        this->end(call,
                  call.maybe_ran ? history_event::unknown
                                 : history_event::refused);
        return false;
    }
    call.node = this->nodes.choose(this->mix.below(1U << 20U), call.node);
    if (!call.node.has_value())
    {
        return this->pause(call, pause_after_loss);
    }
    call.attempt = absl::StrCat(call.plan.call, ".", ++call.tries);
    this->history.append(this->record(call, history_event::attempt));
    detail::http_exchange_options options;
    options.timeout = left + slack;
    detail::http_exchange_report report;
    failure reason;
    auto const response =
        this->client.exchange(*call.node,
                              make_request(call.plan, call.attempt, left),
                              options,
                              report,
                              reason);
    return response.has_value()
               ? this->take_response(call, *response)
               : this->take_silence(call, report.maybe_sent, reason);
}

bool caller::take_response(progress & call, http_response const & response)
{
    this->last_id = text_of(response, header_names::request_id);
    std::string const outcome = text_of(response, header_names::outcome);
    if (outcome == "rejected")
    {
        return this->take_rejection(call, response);
    }
    if (outcome == "indeterminate")
    {
        call.maybe_ran = true;
        if (may_send_again(call.plan))
        {
            return this->pause(call, pause_after_loss);
        }
        this->end(call, history_event::unknown);
        return false;
    }
    this->take_answer(call, response);
    return false;
}

// a connection that was lost, or on which nothing came
bool caller::take_silence(progress & call,
                          bool maybe_sent,
                          failure const & reason)
{
    this->last_id.clear();
    bool const is_silent = reason.id == failure_id::timed_out;
    if (is_silent && !this->nodes.is_excused(*call.node))
    {
        this->end(call, history_event::lost);
        return false;
    }
    call.maybe_ran = call.maybe_ran || maybe_sent;
    if (!maybe_sent || may_send_again(call.plan))
    {
        return this->pause(call, pause_after_loss);
    }
    this->end(call, history_event::unknown);
    return false;
}

bool caller::take_rejection(progress & call, http_response const & response)
{
    this->history.append(this->record(call, history_event::rejected));
    return this->pause(call, retry_after(response));
}

void caller::take_answer(progress const & call, http_response const & response)
{
    auto record = this->record(call, history_event::answer);
    auto const told = read_answer(response.body);
    record.whole = told.whole && told.call == call.plan.call;
    record.digest_got = told.digest_got;
    record.status = response.status;
    this->history.append(record);
    this->last_end = history_event::answer;
}

// waits where the deadline leaves time for it, ends the call otherwise
bool caller::pause(progress const & call, duration span)
{
    if (this->time.now() + span < call.deadline)
    {
        absl::SleepFor(absl::FromChrono(span));
        return true;
    }
    this->end(call,
              call.maybe_ran ? history_event::unknown : history_event::refused);
    return false;
}

void caller::end(progress const & call, history_event event)
{
    this->history.append(this->record(call, event));
    this->last_end = event;
}

history_record caller::record(progress const & call, history_event event) const
{
    history_record record;
    record.event = event;
    record.call = call.plan.call;
    record.attempt = call.attempt;
    record.id = request_id(this->last_id);
    record.key = call.plan.key;
    record.service = call.plan.kind.service;
    record.repeatable = call.plan.kind.repeatable;
    record.digest_sent = body_digest(call.plan.body);
    return record;
}

} // namespace endivehinge::tools

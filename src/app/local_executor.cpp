#include <endivehinge/detail/node/local_executor.hpp>

#include <utility> // move

#include <absl/strings/str_cat.h> // StrCat
#include <absl/time/time.h>       // FromChrono

#include <endivehinge/core/header_names.hpp>

namespace endivehinge::detail
{
namespace
{

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr milliseconds refusal_retry_after(50);

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

local_executor::local_executor(http_client & exchanges, clock const & source)
    : client(exchanges)
    , time(source)
{
}

void local_executor::update(target_status const & status)
{
    absl::MutexLock lock(&this->mutex);
    this->target = status;
}

target_status local_executor::status() const
{
    absl::MutexLock lock(&this->mutex);
    return this->target;
}

void local_executor::stop_admitting()
{
    absl::MutexLock lock(&this->mutex);
    this->admitting = false;
}

outcome local_executor::execute(request const & admitted, int caller_socket)
{
    failure reason;
    if (!this->admit(admitted, reason))
    {
        return outcome::rejected(std::move(reason), refusal_retry_after);
    }
    outcome result = this->run(admitted, caller_socket);
    this->release();
    return result;
}

bool local_executor::admit(request const & candidate, failure & reason)
{
    absl::MutexLock lock(&this->mutex);
    if (!this->admitting || this->target.phase == target_phase::draining)
    {
        reason = {failure_id::draining, "admit", {}, "the target is leaving"};
        return false;
    }
    if (this->target.phase == target_phase::absent)
    {
        reason = {failure_id::no_target, "admit", {}, "no target announced"};
        return false;
    }
    auto const has_room = [this]()
    {
        return this->in_flight < this->target.slots;
    };
    if (!this->mutex.AwaitWithTimeout(
            absl::Condition(&has_room),
            absl::FromChrono(candidate.deadline - this->time.now())))
    {
        reason = {failure_id::overloaded, "admit", {}, "no slot in time"};
        return false;
    }
    ++this->in_flight;
    return true;
}

void local_executor::release()
{
    absl::MutexLock lock(&this->mutex);
    --this->in_flight;
}

outcome local_executor::run(request const & admitted, int caller_socket)
{
    time_point const now = this->time.now();
    endpoint const address = this->status().address;
    http_exchange_options options;
    options.timeout = admitted.deadline - now;
    options.watched_socket = caller_socket;
    http_exchange_report report;
    failure reason;
    auto response = this->client.exchange(
        address, make_target_request(admitted, now), options, report, reason);
    if (!response.has_value())
    {
        reason.step = "run on target";
        return report.maybe_sent
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

} // namespace endivehinge::detail

#include <endivehinge/detail/node/key_ownership.hpp>

#include <algorithm> // min
#include <utility>   // move

#include <absl/time/time.h> // FromChrono

#include <endivehinge/core/fingerprint.hpp>
#include <endivehinge/detail/control/lease_codec.hpp>

namespace endivehinge::detail
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char const * step = "own key";
constexpr milliseconds lease_retry_after(500);
constexpr seconds full_retry_after(1);
// a keeper that was not heard of for so long is looked for
constexpr seconds keeper_silence(2);
// an earlier owner that lives hands its records over within this time
constexpr milliseconds handover_patience(300);

outcome refusal(failure_id id, char const * detail, duration retry_after)
{
    return outcome::rejected({id, step, {}, detail}, retry_after);
}

outcome unknown(char const * detail)
{
    return outcome::indeterminate(
        {failure_id::outcome_unknown, step, {}, detail});
}

} // namespace

key_ownership::key_ownership(owner_identity own,
                             service_name of,
                             lease_timing const & timing,
                             idempotency_limits const & limits,
                             clock const & source)
    : self(own)
    , service(std::move(of))
    , time(source)
    , leader(own, timing)
    , owner(std::move(own), timing, limits)
{
}

outcome key_ownership::execute_as_owner(request const & keyed,
                                        dispatch_function const & dispatch)
{
    auto const fingerprint = fingerprint_of(keyed);
    bool has_waited_for_records = false;
    while (true)
    {
        owner_report report;
        {
            absl::MutexLock lock(&this->mutex);
            // read with the lock held: a pause before counts as time passed
            report = this->owner.begin(
                *keyed.key, fingerprint, clock_reading::of(this->time));
            this->in_flight += report.started() ? 1 : 0;
        }
        if (report.started())
        {
            return this->dispatch_once(keyed, report, dispatch);
        }
        bool const runs = report.refusal == owner_refusal::none &&
                          report.key.decision == key_decision::in_flight;
        if (runs && this->time.now() < keyed.deadline)
        {
            this->wait_while_in_flight(keyed);
            continue;
        }
        if (report.awaits_records && !has_waited_for_records)
        {
            has_waited_for_records = true;
            if (this->wait_for_records(keyed))
            {
                continue;
            }
        }
        return this->refuse(report);
    }
}

bool key_ownership::admit_epoch(epoch number)
{
    absl::MutexLock lock(&this->mutex);
    auto & lease = this->owner.lease();
    if (number < lease.newest_epoch())
    {
        return false;
    }
    if (lease.newest_epoch() < number)
    {
        lease.observe(number);
        lease.renew_soon(this->time.now());
    }
    return true;
}

std::optional<assignment> key_ownership::current() const
{
    absl::MutexLock lock(&this->mutex);
    auto const & adopted = this->owner.lease().current();
    auto const & known = this->leader.current();
    bool const is_newer =
        known.has_value() &&
        (!adopted.has_value() || adopted->number < known->number);
    return is_newer ? known : adopted;
}

bool key_ownership::holds_lease() const
{
    absl::MutexLock lock(&this->mutex);
    auto const & lease = this->owner.lease();
    auto const & known = this->leader.current();
    bool const is_current = lease.current().has_value() && known.has_value() &&
                            known->number <= lease.current()->number;
    return is_current && lease.lease_end(this->time.now()).has_value();
}

void key_ownership::set_window(duration window)
{
    absl::MutexLock lock(&this->mutex);
    this->owner.set_window(window, clock_reading::of(this->time));
}

bool key_ownership::renew_lease(wire::lease_request const & asked,
                                wire::lease_response & answer)
{
    if (asked.service() != this->service.value())
    {
        return false;
    }
    auto const renewal = decode_renewal(asked);
    lease_grant grant;
    {
        absl::MutexLock lock(&this->mutex);
        if (renewal.has_value())
        {
            grant = this->leader.renew(*renewal, this->time.now());
        }
        auto const & adopted = this->owner.lease().current();
        if (!grant.current.has_value())
        {
            grant.current = this->leader.current();
        }
        if (!grant.current.has_value())
        {
            grant.current = adopted;
        }
    }
    answer = encode_grant(grant);
    return true;
}

bool key_ownership::hand_over(wire::handover_request const & handed,
                              wire::handover_response & answer)
{
    failure reason;
    auto const received = decode_handover(handed, reason);
    bool const is_meant = received.has_value() && received->to == this->self &&
                          handed.service() == this->service.value();
    answer.set_accepted(is_meant);
    if (!is_meant)
    {
        answer.set_reason("the records are for another node or run");
        return true;
    }
    absl::MutexLock lock(&this->mutex);
    this->owner.import_handover(*received, clock_reading::of(this->time));
    return true;
}

time_point key_ownership::next_renewal() const
{
    absl::MutexLock lock(&this->mutex);
    return this->owner.lease().next_renewal();
}

key_ownership::sent_renewal key_ownership::begin_renewal()
{
    absl::MutexLock lock(&this->mutex);
    sent_renewal renewal;
    renewal.sent = this->time.now();
    renewal.message = this->owner.lease().make_renewal(renewal.sent);
    if (this->leader.is_leader(renewal.sent))
    {
        auto const grant = this->leader.renew(renewal.message, renewal.sent);
        this->take_locked(grant, renewal.sent);
        renewal.is_answered = true;
        return renewal;
    }
    auto const & known = this->leader.current();
    if (known.has_value() && known->leader != this->self)
    {
        renewal.leader = known->leader;
    }
    return renewal;
}

void key_ownership::take(lease_grant const & grant, time_point sent)
{
    absl::MutexLock lock(&this->mutex);
    this->take_locked(grant, sent);
}

bool key_ownership::keeper_answers() const
{
    absl::MutexLock lock(&this->mutex);
    return this->keeper_answered.has_value() &&
           this->time.now() - *this->keeper_answered < keeper_silence;
}

std::optional<store_call> key_ownership::next_call()
{
    bool const answers = this->keeper_answers();
    absl::MutexLock lock(&this->mutex);
    return this->leader.next_call(this->time.now(), answers);
}

void key_ownership::on_read(std::optional<stored_assignment> const & seen)
{
    absl::MutexLock lock(&this->mutex);
    time_point const now = this->time.now();
    if (seen.has_value())
    {
        this->leader.on_read(*seen, now);
        return;
    }
    this->leader.on_read_failed(now);
}

void key_ownership::on_written(write_result result, object_version version)
{
    absl::MutexLock lock(&this->mutex);
    time_point const now = this->time.now();
    this->leader.on_written(result, version, now);
    if (result == write_result::done)
    {
        // a new epoch waits for this owner too
        this->take_locked({std::nullopt, this->leader.current(), false, {}},
                          now);
        this->owner.lease().renew_soon(now);
    }
}

std::vector<record_handover> key_ownership::take_handovers()
{
    absl::MutexLock lock(&this->mutex);
    return this->owner.take_handovers();
}

void key_ownership::leave()
{
    absl::MutexLock lock(&this->mutex);
    this->leader.leave();
    this->owner.lease().leave(this->time.now());
}

bool key_ownership::has_left() const
{
    absl::MutexLock lock(&this->mutex);
    auto const & adopted = this->owner.lease().current();
    bool const owns =
        adopted.has_value() && contains(adopted->members, this->self);
    return !owns && this->in_flight == 0;
}

outcome key_ownership::dispatch_once(request const & keyed,
                                     owner_report const & started,
                                     dispatch_function const & dispatch)
{
    request bounded = keyed;
    bounded.deadline = std::min(keyed.deadline, started.dispatch_end);
    bounded.owner_epoch = started.number;
    bool may_dispatch = false;
    {
        absl::MutexLock lock(&this->mutex);
        time_point const now = this->time.now();
        may_dispatch =
            this->owner.may_dispatch(started, now) && now < bounded.deadline;
    }
    outcome result = may_dispatch
                         ? dispatch(bounded)
                         : refusal(failure_id::lease_expired,
                                   "the lease or the deadline has ended",
                                   lease_retry_after);
    absl::MutexLock lock(&this->mutex);
    --this->in_flight;
    this->owner.finish(*keyed.key, result, clock_reading::of(this->time));
    return result;
}

outcome key_ownership::refuse(owner_report const & report) const
{
    switch (report.refusal)
    {
    case owner_refusal::lease_expired:
        return refusal(failure_id::lease_expired,
                       "this attempt did not run; no lease on the key now",
                       lease_retry_after);
    case owner_refusal::not_owner:
        return refusal(failure_id::stale_epoch,
                       "this attempt did not run; another node owns the key",
                       duration(0));
    case owner_refusal::none:
        break;
    }
    switch (report.key.decision)
    {
    case key_decision::reused:
        return refusal(failure_id::key_reused,
                       "the key names another request",
                       duration(0));
    case key_decision::stamp_ahead:
        return refusal(failure_id::invalid_argument,
                       "the key's time stamp lies in the future",
                       full_retry_after);
    case key_decision::full:
        return refusal(failure_id::overloaded,
                       "no room for another key",
                       full_retry_after);
    case key_decision::in_flight:
        return unknown("the first request with this key still runs");
    default:
        return report.key.result != nullptr ? *report.key.result
                                            : unknown("no record");
    }
}

// a mutex looks at this again whenever another thread lets it go
void key_ownership::wait_while_in_flight(request const & keyed)
{
    absl::MutexLock lock(&this->mutex);
    auto const has_ended = [this, &keyed]()
    {
        return !this->owner.records().is_in_flight(*keyed.key);
    };
    this->mutex.AwaitWithTimeout(
        absl::Condition(&has_ended),
        absl::FromChrono(keyed.deadline - this->time.now()));
}

bool key_ownership::wait_for_records(request const & keyed)
{
    absl::MutexLock lock(&this->mutex);
    auto const have_come = [this, &keyed]()
    {
        return !this->owner.lease().coverage().awaits_records(*keyed.key,
                                                              this->time.now());
    };
    duration const patience = std::min<duration>(
        handover_patience, keyed.deadline - this->time.now());
    return this->mutex.AwaitWithTimeout(absl::Condition(&have_come),
                                        absl::FromChrono(patience));
}

void key_ownership::take_locked(lease_grant const & grant, time_point sent)
{
    clock_reading const at = clock_reading::of(this->time);
    if (grant.current.has_value())
    {
        this->leader.observe(*grant.current);
    }
    if (grant.from_leader)
    {
        this->keeper_answered = at.now;
    }
    this->owner.apply_grant(grant, sent, at);
}

} // namespace endivehinge::detail

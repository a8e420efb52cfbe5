#include <endivehinge/detail/node/local_executor.hpp>

#include <utility> // move

#include <absl/strings/str_cat.h> // StrCat

#include <endivehinge/core/fingerprint.hpp>

namespace endivehinge::detail
{
namespace
{

constexpr int min_server_error_status = 500;

announced_phase to_announced_phase(target_phase phase)
{
    switch (phase)
    {
    case target_phase::cold:
        return announced_phase::cold;
    case target_phase::ready:
        return announced_phase::ready;
    case target_phase::draining:
        return announced_phase::draining;
    case target_phase::absent:
        break;
    }
    return announced_phase::absent;
}

// Classifies an outcome as evidence of the state of the target.
execution_result to_run_result(outcome const & result)
{
    switch (result.kind)
    {
    case outcome_kind::answered:
        return result.answer.status < min_server_error_status
                   ? execution_result::succeeded
                   : execution_result::failed;
    case outcome_kind::rejected:
        return execution_result::shed;
    case outcome_kind::indeterminate:
        break;
    }
    return result.reason.id == failure_id::cancelled
               ? execution_result::abandoned
               : execution_result::failed;
}

outcome make_rejection(admission_decision const & decision)
{
    return outcome::rejected({decision.reason, "admit", {}, {}},
                             decision.retry_after);
}

} // namespace

local_executor::local_executor(node_name name,
                               http_client & shared_client,
                               shared_quarantine & shared_quarantine,
                               clock const & time_source)
    : own_name(std::move(name))
    , quarantine(shared_quarantine)
    , requests_to_target(shared_client, time_source)
    , admission(time_source)
{
}

void local_executor::update(target_status const & status)
{
    {
        absl::MutexLock lock(&this->mutex);
        this->target = status;
    }
    this->announce_to_admission();
}

void local_executor::set_drained(bool new_drained)
{
    {
        absl::MutexLock lock(&this->mutex);
        if (new_drained == this->drained)
        {
            return;
        }
        this->drained = new_drained;
        this->drain_end_count += new_drained ? 0 : 1;
    }
    this->announce_to_admission();
}

void local_executor::set_extra_request_limits(double hedge_share,
                                              double checks_per_second)
{
    this->requests_to_target.set_extra_request_limits(hedge_share,
                                                      checks_per_second);
}

void local_executor::announce_to_admission()
{
    target_announcement announcement;
    {
        absl::MutexLock lock(&this->mutex);
        announcement.phase = this->drained
                                 ? announced_phase::draining
                                 : to_announced_phase(this->target.phase);
        announcement.slots = this->target.slots;
        // After a drain the target is warmed up again as after a restart.
        announcement.run =
            this->target.incarnation_number + this->drain_end_count;
    }
    this->admission.announce(announcement);
}

target_status local_executor::status() const
{
    absl::MutexLock lock(&this->mutex);
    return this->target;
}

void local_executor::stop_admitting()
{
    this->admission.stop_admitting();
}

load_signal local_executor::load() const
{
    return this->admission.load();
}

outcome local_executor::execute(request const & offered, int caller_socket)
{
    request_fingerprint const fingerprint = fingerprint_of(offered);
    auto const status = this->quarantine.check(fingerprint);
    if (status.verdict == quarantine_verdict::crashing)
    {
        return outcome::rejected({failure_id::quarantined,
                                  "admit",
                                  {},
                                  "the request crashes its targets"},
                                 status.remaining);
    }
    bool const isolated =
        offered.suspect || status.verdict == quarantine_verdict::suspect;
    return this->admit_and_run(offered, fingerprint, isolated, caller_socket);
}

outcome local_executor::admit_and_run(request const & offered,
                                      request_fingerprint fingerprint,
                                      bool isolated,
                                      int caller_socket)
{
    ticket_id ticket;
    auto const decision = this->admission.admit(offered, isolated, ticket);
    if (decision.verdict != admission_verdict::admitted)
    {
        return make_rejection(decision);
    }
    target_status const status_before = this->status();
    outcome result =
        this->requests_to_target.execute(status_before.address,
                                         offered,
                                         this->admission.load().latency,
                                         caller_socket);
    if (result.kind == outcome_kind::answered)
    {
        this->quarantine.finished(fingerprint);
    }
    if (result.reason.id == failure_id::connection_lost &&
        this->has_crashed(status_before))
    {
        this->report_crash(fingerprint, status_before, isolated);
        result.reason.id = failure_id::target_died;
    }
    this->admission.release(ticket, isolated, to_run_result(result));
    return result;
}

// A target that closed one connection may still be running. It has crashed only
// if it refuses new connections or has a new incarnation number.
bool local_executor::has_crashed(target_status const & status_before)
{
    if (this->status().incarnation_number != status_before.incarnation_number)
    {
        return true;
    }
    return this->requests_to_target.is_unreachable(status_before.address);
}

void local_executor::report_crash(request_fingerprint fingerprint,
                                  target_status const & status_before,
                                  bool isolated)
{
    this->quarantine.crashed(
        fingerprint,
        crash_id(absl::StrCat(
            this->own_name.value(), "/", status_before.incarnation_number)),
        isolated);
    target_status stopped_status = status_before;
    stopped_status.phase = target_phase::absent;
    if (this->status().incarnation_number == status_before.incarnation_number)
    {
        this->update(stopped_status);
    }
}

} // namespace endivehinge::detail

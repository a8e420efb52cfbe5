#include <endivehinge/detail/node/local_executor.hpp>

#include <utility> // move

#include <absl/strings/str_cat.h> // StrCat

#include <endivehinge/core/fingerprint.hpp>

namespace endivehinge::detail
{
namespace
{

constexpr int lowest_server_error = 500;

announced_phase announced(target_phase phase)
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

// what the outcome says of the target's state
execution_result evidence_of(outcome const & result)
{
    switch (result.kind)
    {
    case outcome_kind::answered:
        return result.answer.status < lowest_server_error
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

outcome refuse(admission_decision const & decision)
{
    return outcome::rejected({decision.reason, "admit", {}, {}},
                             decision.retry_after);
}

} // namespace

local_executor::local_executor(node_name name,
                               http_client & exchanges,
                               shared_quarantine & board,
                               clock const & source)
    : self(std::move(name))
    , quarantine(board)
    , target_exchanges(exchanges, source)
    , gate(source)
{
}

void local_executor::update(target_status const & status)
{
    {
        absl::MutexLock lock(&this->mutex);
        this->target = status;
    }
    this->announce_to_gate();
}

void local_executor::set_drained(bool now_drained)
{
    {
        absl::MutexLock lock(&this->mutex);
        if (now_drained == this->drained)
        {
            return;
        }
        this->drained = now_drained;
        this->returns_to_service += now_drained ? 0 : 1;
    }
    this->announce_to_gate();
}

void local_executor::set_extra_request_limits(double second_send_share,
                                              double checks_per_second)
{
    this->target_exchanges.set_extra_request_limits(second_send_share,
                                                    checks_per_second);
}

void local_executor::announce_to_gate()
{
    target_announcement said;
    {
        absl::MutexLock lock(&this->mutex);
        said.phase = this->drained ? announced_phase::draining
                                   : announced(this->target.phase);
        said.slots = this->target.slots;
        // back in service it starts slowly, as after a restart
        said.run = this->target.run + this->returns_to_service;
    }
    this->gate.announce(said);
}

target_status local_executor::status() const
{
    absl::MutexLock lock(&this->mutex);
    return this->target;
}

void local_executor::stop_admitting()
{
    this->gate.stop_admitting();
}

load_signal local_executor::load() const
{
    return this->gate.load();
}

outcome local_executor::execute(request const & offered, int caller_socket)
{
    request_fingerprint const fingerprint = fingerprint_of(offered);
    auto const [verdict, remaining] = this->quarantine.check(fingerprint);
    if (verdict == quarantine_verdict::crashing)
    {
        return outcome::rejected({failure_id::quarantined,
                                  "admit",
                                  {},
                                  "the request crashes its targets"},
                                 remaining);
    }
    bool const alone =
        offered.suspect || verdict == quarantine_verdict::suspect;
    return this->admit_and_run(offered, fingerprint, alone, caller_socket);
}

outcome local_executor::admit_and_run(request const & offered,
                                      request_fingerprint fingerprint,
                                      bool alone,
                                      int caller_socket)
{
    ticket_id ticket;
    auto const decision = this->gate.enter(offered, alone, ticket);
    if (decision.verdict != admission_verdict::admitted)
    {
        return refuse(decision);
    }
    target_status const before = this->status();
    outcome result = this->target_exchanges.run(
        before.address, offered, this->gate.load().latency, caller_socket);
    if (result.kind == outcome_kind::answered)
    {
        this->quarantine.finished(fingerprint);
    }
    if (result.reason.id == failure_id::connection_lost &&
        this->has_died(before))
    {
        this->report_crash(fingerprint, before, alone);
        result.reason.id = failure_id::target_died;
    }
    this->gate.leave(ticket, alone, evidence_of(result));
    return result;
}

// a target that closed one connection may be alive: only one that takes no
// new connection, or is another run by now, has died
bool local_executor::has_died(target_status const & before)
{
    if (this->status().run != before.run)
    {
        return true;
    }
    return this->target_exchanges.is_gone(before.address);
}

void local_executor::report_crash(request_fingerprint fingerprint,
                                  target_status const & before,
                                  bool alone)
{
    this->quarantine.crashed(
        fingerprint,
        crash_id(absl::StrCat(this->self.value(), "/", before.run)),
        alone);
    target_status gone = before;
    gone.phase = target_phase::absent;
    if (this->status().run == before.run)
    {
        this->update(gone);
    }
}

} // namespace endivehinge::detail

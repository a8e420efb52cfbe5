#include <endivehinge/detail/node/target_admission.hpp>

#include <utility> // move

#include <absl/time/time.h> // FromChrono

namespace endivehinge::detail
{
namespace
{

constexpr duration late_retry_after = std::chrono::milliseconds(100);

admission_decision too_late()
{
    return {admission_verdict::refused,
            failure_id::deadline_too_near,
            late_retry_after};
}

} // namespace

target_admission::target_admission(clock const & source)
    : time(source)
{
}

admission_decision target_admission::enter(request const & candidate,
                                           bool alone,
                                           ticket_id & ticket)
{
    absl::MutexLock lock(&this->mutex);
    ticket = ticket_id(++this->tickets);
    admission_decision decision = this->controller.offer(
        {ticket, candidate.urgency, candidate.deadline}, this->time.now());
    if (decision.verdict == admission_verdict::queued)
    {
        decision = this->wait(ticket, candidate.deadline);
    }
    // an urgent request may have pushed another one out
    this->wake_ready();
    if (decision.verdict == admission_verdict::admitted &&
        !this->wait_for_others(alone, candidate.deadline))
    {
        this->controller.cancel(ticket);
        this->wake_ready();
        return too_late();
    }
    return decision;
}

void target_admission::leave(ticket_id ticket,
                             bool alone,
                             execution_result result)
{
    absl::MutexLock lock(&this->mutex);
    if (alone)
    {
        this->alone_running = false;
    }
    else
    {
        --this->shared_runs;
    }
    this->controller.finish(ticket, result, this->time.now());
    this->wake_ready();
}

void target_admission::announce(target_announcement const & said)
{
    absl::MutexLock lock(&this->mutex);
    this->controller.announce(said);
    this->wake_ready();
}

void target_admission::stop_admitting()
{
    absl::MutexLock lock(&this->mutex);
    this->controller.stop_admitting();
}

load_signal target_admission::load() const
{
    absl::MutexLock lock(&this->mutex);
    return this->controller.load(this->time.now());
}

admission_decision target_admission::wait(ticket_id ticket, time_point deadline)
{
    auto const mine = std::make_shared<waiter>();
    mine->decision.verdict = admission_verdict::queued;
    this->waiters[ticket] = mine;
    this->wake_ready();
    while (mine->decision.verdict == admission_verdict::queued)
    {
        duration const left = deadline - this->time.now();
        if (left <= duration(0))
        {
            this->controller.cancel(ticket);
            mine->decision = too_late();
            break;
        }
        mine->changed.WaitWithTimeout(&this->mutex, absl::FromChrono(left));
    }
    this->waiters.erase(ticket);
    return mine->decision;
}

// a request that runs alone waits for the others, and they for it
bool target_admission::wait_for_others(bool alone, time_point deadline)
{
    auto const may_run = [this, alone]()
    {
        if (this->alone_running)
        {
            return false;
        }
        return alone ? this->shared_runs == 0 : this->alone_waiting == 0;
    };
    this->alone_waiting += alone ? 1 : 0;
    bool const runs = this->mutex.AwaitWithTimeout(
        absl::Condition(&may_run),
        absl::FromChrono(deadline - this->time.now()));
    this->alone_waiting -= alone ? 1 : 0;
    if (runs)
    {
        this->alone_running = alone;
        this->shared_runs += alone ? 0 : 1;
    }
    return runs;
}

void target_admission::wake_ready()
{
    for (auto const & ready : this->controller.take_ready(this->time.now()))
    {
        if (auto const found = this->waiters.find(ready.id);
            found != this->waiters.end())
        {
            found->second->decision = ready.decision;
            found->second->changed.Signal();
        }
    }
}

} // namespace endivehinge::detail

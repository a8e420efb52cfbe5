#include <endivehinge/detail/node/target_admission.hpp>

#include <utility> // move

#include <absl/time/time.h> // FromChrono

namespace endivehinge::detail
{
namespace
{

constexpr duration deadline_retry_after = std::chrono::milliseconds(100);

admission_decision refuse_for_deadline()
{
    return {admission_verdict::refused,
            failure_id::deadline_too_near,
            deadline_retry_after};
}

} // namespace

target_admission::target_admission(clock const & time_source)
    : time(time_source)
{
}

admission_decision target_admission::admit(request const & candidate,
                                           bool isolated,
                                           ticket_id & ticket)
{
    absl::MutexLock lock(&this->mutex);
    ticket = ticket_id(++this->last_ticket_number);
    admission_decision decision = this->controller.offer(
        {ticket, candidate.urgency, candidate.deadline}, this->time.now());
    if (decision.verdict == admission_verdict::queued)
    {
        decision = this->wait_in_queue(ticket, candidate.deadline);
    }
    // An urgent request may have evicted a queued one, whose thread is waiting.
    this->notify_decided();
    if (decision.verdict == admission_verdict::admitted &&
        !this->wait_for_isolation(isolated, candidate.deadline))
    {
        this->controller.cancel(ticket);
        this->notify_decided();
        return refuse_for_deadline();
    }
    return decision;
}

void target_admission::release(ticket_id ticket,
                               bool isolated,
                               execution_result result)
{
    absl::MutexLock lock(&this->mutex);
    if (isolated)
    {
        this->isolated_running = false;
    }
    else
    {
        --this->non_isolated_running;
    }
    this->controller.finish(ticket, result, this->time.now());
    this->notify_decided();
}

void target_admission::announce(target_announcement const & announcement)
{
    absl::MutexLock lock(&this->mutex);
    this->controller.announce(announcement);
    this->notify_decided();
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

admission_decision target_admission::wait_in_queue(ticket_id ticket,
                                                   time_point deadline)
{
    auto const own_entry = std::make_shared<waiter>();
    own_entry->decision.verdict = admission_verdict::queued;
    this->waiters[ticket] = own_entry;
    this->notify_decided();
    while (own_entry->decision.verdict == admission_verdict::queued)
    {
        duration const remaining_time = deadline - this->time.now();
        if (remaining_time <= duration(0))
        {
            this->controller.cancel(ticket);
            own_entry->decision = refuse_for_deadline();
            break;
        }
        own_entry->decided.WaitWithTimeout(&this->mutex,
                                           absl::FromChrono(remaining_time));
    }
    this->waiters.erase(ticket);
    return own_entry->decision;
}

// An isolated request waits until no other runs; no other request starts while
// an isolated one waits or runs.
bool target_admission::wait_for_isolation(bool isolated, time_point deadline)
{
    auto const may_start = [this, isolated]()
    {
        if (this->isolated_running)
        {
            return false;
        }
        return isolated ? this->non_isolated_running == 0
                        : this->waiting_isolated == 0;
    };
    this->waiting_isolated += isolated ? 1 : 0;
    bool const started = this->mutex.AwaitWithTimeout(
        absl::Condition(&may_start),
        absl::FromChrono(deadline - this->time.now()));
    this->waiting_isolated -= isolated ? 1 : 0;
    if (started)
    {
        this->isolated_running = isolated;
        this->non_isolated_running += isolated ? 0 : 1;
    }
    return started;
}

void target_admission::notify_decided()
{
    for (auto const & ready : this->controller.take_ready(this->time.now()))
    {
        if (auto const found = this->waiters.find(ready.id);
            found != this->waiters.end())
        {
            found->second->decision = ready.decision;
            found->second->decided.Signal();
        }
    }
}

} // namespace endivehinge::detail

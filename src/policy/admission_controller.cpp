#include <endivehinge/policy/admission_controller.hpp>

#include <algorithm> // clamp, max, min
#include <iterator>  // prev
#include <utility>   // exchange

namespace endivehinge
{
namespace
{

constexpr std::chrono::milliseconds min_retry_after(1);
constexpr std::chrono::seconds max_retry_after(5);
constexpr std::chrono::milliseconds unavailable_retry_after(100);
constexpr std::uint32_t internal_check_reserve = 1;
// interval between scans of the queue for requests that would miss their
// deadlines
constexpr std::chrono::milliseconds queue_scan_interval(5);

} // namespace

admission_controller::admission_controller(admission_options initial_options)
    : options(initial_options)
    , concurrency(initial_options.concurrency)
    , queue(initial_options.order_by_urgency ? queue_order::urgency
                                             : queue_order::arrival)
{
}

void admission_controller::announce(target_announcement const & announcement)
{
    bool const is_new_incarnation =
        announcement.run != this->target.run ||
        this->target.phase == announced_phase::absent;
    bool const turned_cold = announcement.phase == announced_phase::cold &&
                             this->target.phase != announced_phase::cold;
    slow_start_growth const growth = announcement.phase == announced_phase::cold
                                         ? slow_start_growth::linear
                                         : slow_start_growth::exponential;
    this->target = announcement;
    this->concurrency.set_slots(announcement.slots);
    this->concurrency.set_growth(growth);
    if (this->target_accepts_requests() && (is_new_incarnation || turned_cold))
    {
        this->concurrency.restart(growth);
    }
}

void admission_controller::stop_admitting()
{
    this->admitting = false;
}

admission_decision admission_controller::offer(ticket_info const & offered,
                                               time_point now)
{
    if (!this->admitting || this->target.phase == announced_phase::draining)
    {
        return this->refuse(failure_id::draining, now);
    }
    if (this->target.phase == announced_phase::absent)
    {
        return this->refuse(failure_id::no_target, now);
    }
    // an idle target accepts any request, since only its response can correct
    // a wrong estimate
    bool const idle = this->running.empty() && this->queue.tickets().empty();
    if (offered.deadline <= now ||
        (!idle && this->would_be_late(offered, duration(0), now)))
    {
        return this->refuse(failure_id::deadline_too_near, now);
    }
    if (this->has_capacity_for(offered) && this->queue.would_be_first(offered))
    {
        return this->start(offered, now);
    }
    return this->enqueue(offered, now);
}

void admission_controller::finish(ticket_id id,
                                  execution_result result,
                                  time_point now)
{
    auto const found = this->running.find(id);
    if (found == this->running.end())
    {
        return;
    }
    running_ticket const ended = found->second;
    auto const in_flight = this->running_count();
    this->remove_running(id);
    switch (result)
    {
    case execution_result::succeeded:
        this->last_response_at = now;
        this->concurrency.record(
            now - ended.started, in_flight, now <= ended.deadline);
        break;
    case execution_result::failed:
    case execution_result::shed:
        this->concurrency.back_off();
        break;
    case execution_result::abandoned:
        break;
    }
}

void admission_controller::cancel(ticket_id id)
{
    this->remove_running(id);
    this->queue.erase(id);
}

std::vector<ready_ticket> admission_controller::take_ready(time_point now)
{
    this->evict_unservable(now);
    this->evict_late(now);
    std::vector<ready_ticket> ready = std::exchange(this->evicted, {});
    while (!this->queue.tickets().empty() &&
           this->has_capacity_for(*this->queue.tickets().begin()))
    {
        ticket_info const next = *this->queue.tickets().begin();
        this->queue.erase(next.id);
        bool const idle = this->running.empty();
        bool const too_late =
            next.deadline <= now ||
            (!idle && this->would_be_late(next, duration(0), now));
        ready.push_back({next.id,
                         too_late
                             ? this->refuse(failure_id::deadline_too_near, now)
                             : this->start(next, now)});
    }
    return ready;
}

load_signal admission_controller::load(time_point now) const
{
    load_signal signal;
    signal.in_flight = static_cast<double>(this->running.size() +
                                           this->queue.tickets().size());
    bool const open = this->admitting && this->target_accepts_requests();
    signal.limit = open ? this->concurrency.value() : 0;
    signal.latency =
        std::max(this->concurrency.recent_latency(), this->mean_age(now));
    signal.received = now;
    return signal;
}

std::uint32_t admission_controller::running_count() const
{
    return static_cast<std::uint32_t>(this->running.size());
}

std::uint32_t admission_controller::queued_count() const
{
    return static_cast<std::uint32_t>(this->queue.tickets().size());
}

std::uint32_t admission_controller::limit() const
{
    return this->concurrency.value();
}

// An internal check may exceed the limit by one, but never the slots. Reserving
// capacity for it instead would permanently reduce the target's throughput.
bool admission_controller::has_capacity_for(ticket_info const & candidate) const
{
    std::uint32_t capacity = this->concurrency.value();
    if (candidate.urgency == priority::internal_check)
    {
        capacity = std::min(capacity + internal_check_reserve,
                            std::max<std::uint32_t>(this->target.slots, 1));
    }
    return this->running.size() < capacity;
}

bool admission_controller::would_be_late(ticket_info const & candidate,
                                         duration wait,
                                         time_point now) const
{
    return this->options.refuse_late &&
           now + wait + this->expected_service_time(now) > candidate.deadline;
}

// A long wait, even if it meets the deadline, uses up time that another target
// needs to serve the request.
bool admission_controller::exceeds_wait_limit(ticket_info const & candidate,
                                              duration wait,
                                              time_point now) const
{
    auto const time_left =
        static_cast<double>((candidate.deadline - now).count());
    return this->would_be_late(candidate, wait, now) ||
           (this->options.bound_wait &&
            static_cast<double>(wait.count()) >
                this->options.max_wait_share * time_left);
}

duration admission_controller::expected_service_time(time_point now) const
{
    bool const is_old =
        now - this->last_response_at > this->options.latency_lifetime;
    duration const measured = is_old ? this->concurrency.baseline_latency()
                                     : this->concurrency.recent_latency();
    return std::max(measured, this->mean_age(now));
}

// Mean time since the start of the running requests. It exceeds the service
// time when the target stalls, before any response shows it.
duration admission_controller::mean_age(time_point now) const
{
    if (this->running.empty())
    {
        return duration(0);
    }
    auto const count = static_cast<duration::rep>(this->running.size());
    return now - this->start_reference - (this->start_offset_sum / count);
}

duration admission_controller::expected_wait(std::size_t ahead,
                                             time_point now) const
{
    auto const requests_to_serve = static_cast<duration::rep>(ahead + 1);
    return this->expected_service_time(now) * requests_to_serve /
           this->concurrency.value();
}

admission_decision admission_controller::refuse(failure_id reason,
                                                time_point now) const
{
    duration retry_after = unavailable_retry_after;
    if (reason == failure_id::overloaded ||
        reason == failure_id::deadline_too_near)
    {
        retry_after = std::clamp<duration>(
            this->expected_wait(this->queue.tickets().size(), now),
            min_retry_after,
            max_retry_after);
    }
    return {admission_verdict::refused, reason, retry_after};
}

admission_decision admission_controller::start(ticket_info const & candidate,
                                               time_point now)
{
    if (this->running.empty())
    {
        this->start_reference = now;
        this->start_offset_sum = duration(0);
    }
    this->running.emplace(candidate.id,
                          running_ticket{now, candidate.deadline});
    this->start_offset_sum += now - this->start_reference;
    return {admission_verdict::admitted, failure_id::none, duration(0)};
}

admission_decision admission_controller::enqueue(ticket_info const & candidate,
                                                 time_point now)
{
    duration const wait =
        this->expected_wait(this->queue.count_ahead(candidate), now);
    if (this->exceeds_wait_limit(candidate, wait, now) ||
        !this->ensure_queue_space(candidate, now))
    {
        return this->refuse(failure_id::overloaded, now);
    }
    this->queue.insert(candidate);
    return {admission_verdict::queued, failure_id::none, duration(0)};
}

bool admission_controller::ensure_queue_space(ticket_info const & candidate,
                                              time_point now)
{
    if (this->queue.tickets().size() < this->options.max_queue_size)
    {
        return true;
    }
    ticket_info const last = *std::prev(this->queue.tickets().end());
    // among equally urgent tickets, the queued one stays
    if (candidate.urgency >= last.urgency)
    {
        return false;
    }
    this->evict(last, failure_id::overloaded, now);
    return true;
}

void admission_controller::evict(ticket_info const & ticket,
                                 failure_id reason,
                                 time_point now)
{
    this->queue.erase(ticket.id);
    this->evicted.push_back({ticket.id, this->refuse(reason, now)});
}

// Refuses tickets that this target cannot serve. Another target may still serve
// them before their deadlines.
void admission_controller::evict_unservable(time_point now)
{
    if (!this->target_accepts_requests())
    {
        std::vector<ticket_info> const all(this->queue.tickets().begin(),
                                           this->queue.tickets().end());
        for (auto const & ticket : all)
        {
            this->evict(ticket, failure_id::draining, now);
        }
        return;
    }
    for (auto const & ticket : this->queue.expired(now))
    {
        this->evict(ticket, failure_id::deadline_too_near, now);
    }
}

// The target may have become slower since the tickets were queued.
void admission_controller::evict_late(time_point now)
{
    if (!this->options.refuse_late ||
        now - this->last_queue_scan_at < queue_scan_interval)
    {
        return;
    }
    this->last_queue_scan_at = now;
    std::vector<ticket_info> late;
    std::size_t ahead = 0;
    for (auto const & ticket : this->queue.tickets())
    {
        if (this->would_be_late(ticket, this->expected_wait(ahead, now), now))
        {
            late.push_back(ticket);
            continue;
        }
        ++ahead;
    }
    for (auto const & ticket : late)
    {
        this->evict(ticket, failure_id::overloaded, now);
    }
}

void admission_controller::remove_running(ticket_id id)
{
    if (auto const found = this->running.find(id); found != this->running.end())
    {
        this->start_offset_sum -= found->second.started - this->start_reference;
        this->running.erase(found);
    }
}

bool admission_controller::target_accepts_requests() const
{
    return this->target.phase == announced_phase::cold ||
           this->target.phase == announced_phase::ready;
}

} // namespace endivehinge

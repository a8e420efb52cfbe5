#include <endivehinge/policy/admission_controller.hpp>

#include <algorithm> // clamp, max, min
#include <iterator>  // prev
#include <utility>   // exchange

namespace endivehinge
{
namespace
{

constexpr std::chrono::milliseconds shortest_retry_after(1);
constexpr std::chrono::seconds longest_retry_after(5);
constexpr std::chrono::milliseconds retry_after_without_target(100);
constexpr std::uint32_t reserved_for_internal_checks = 1;
// how often the queue is looked through for those that would be late
constexpr std::chrono::milliseconds review_interval(5);

} // namespace

admission_controller::admission_controller(admission_options chosen)
    : options(chosen)
    , concurrency(chosen.concurrency)
    , queue(chosen.order_by_urgency ? queue_order::urgency
                                    : queue_order::arrival)
{
}

void admission_controller::announce(target_announcement const & said)
{
    bool const is_new = said.run != this->target.run ||
                        this->target.phase == announced_phase::absent;
    bool const turned_cold = said.phase == announced_phase::cold &&
                             this->target.phase != announced_phase::cold;
    slow_start_pace const pace = said.phase == announced_phase::cold
                                     ? slow_start_pace::cautious
                                     : slow_start_pace::quick;
    this->target = said;
    this->concurrency.set_slots(said.slots);
    this->concurrency.set_pace(pace);
    if (this->is_target_open() && (is_new || turned_cold))
    {
        this->concurrency.restart(pace);
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
    // an idle target takes anything: a wrong estimate must not last
    bool const idle = this->running.empty() && this->queue.tickets().empty();
    if (offered.deadline <= now ||
        (!idle && this->would_be_late(offered, duration(0), now)))
    {
        return this->refuse(failure_id::deadline_too_near, now);
    }
    if (this->has_place(offered) && this->queue.goes_first(offered))
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
        this->last_answer = now;
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
    this->push_out_lost_ones(now);
    this->push_out_late_ones(now);
    std::vector<ready_ticket> ready = std::exchange(this->pushed_out, {});
    while (!this->queue.tickets().empty() &&
           this->has_place(*this->queue.tickets().begin()))
    {
        ticket_info const next = *this->queue.tickets().begin();
        this->queue.erase(next.id);
        bool const idle = this->running.empty();
        bool const hopeless =
            next.deadline <= now ||
            (!idle && this->would_be_late(next, duration(0), now));
        ready.push_back({next.id,
                         hopeless
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
    bool const open = this->admitting && this->is_target_open();
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

// an internal check may go one above the limit, never above the slots: a
// place kept empty for it would cost its share of the target all the time
bool admission_controller::has_place(ticket_info const & candidate) const
{
    std::uint32_t places = this->concurrency.value();
    if (candidate.urgency == priority::internal_check)
    {
        places = std::min(places + reserved_for_internal_checks,
                          std::max<std::uint32_t>(this->target.slots, 1));
    }
    return this->running.size() < places;
}

bool admission_controller::would_be_late(ticket_info const & candidate,
                                         duration wait,
                                         time_point now) const
{
    return this->options.refuse_late &&
           now + wait + this->expected_run(now) > candidate.deadline;
}

// a long wait in time would use up what another target needs
bool admission_controller::is_too_long(ticket_info const & candidate,
                                       duration wait,
                                       time_point now) const
{
    auto const left = static_cast<double>((candidate.deadline - now).count());
    return this->would_be_late(candidate, wait, now) ||
           (this->options.bound_wait &&
            static_cast<double>(wait.count()) >
                this->options.patience_share * left);
}

duration admission_controller::expected_run(time_point now) const
{
    bool const is_old = now - this->last_answer > this->options.forget_after;
    duration const measured = is_old ? this->concurrency.low_latency()
                                     : this->concurrency.recent_latency();
    return std::max(measured, this->mean_age(now));
}

// above the usual time of a run where the target stalls: seen before any
// answer comes
duration admission_controller::mean_age(time_point now) const
{
    if (this->running.empty())
    {
        return duration(0);
    }
    auto const count = static_cast<duration::rep>(this->running.size());
    return now - this->first_start - (this->start_sum / count);
}

duration admission_controller::expected_wait(std::size_t ahead,
                                             time_point now) const
{
    auto const turns = static_cast<duration::rep>(ahead + 1);
    return this->expected_run(now) * turns / this->concurrency.value();
}

admission_decision admission_controller::refuse(failure_id reason,
                                                time_point now) const
{
    duration retry_after = retry_after_without_target;
    if (reason == failure_id::overloaded ||
        reason == failure_id::deadline_too_near)
    {
        retry_after = std::clamp<duration>(
            this->expected_wait(this->queue.tickets().size(), now),
            shortest_retry_after,
            longest_retry_after);
    }
    return {admission_verdict::refused, reason, retry_after};
}

admission_decision admission_controller::start(ticket_info const & candidate,
                                               time_point now)
{
    if (this->running.empty())
    {
        this->first_start = now;
        this->start_sum = duration(0);
    }
    this->running.emplace(candidate.id,
                          running_ticket{now, candidate.deadline});
    this->start_sum += now - this->first_start;
    return {admission_verdict::admitted, failure_id::none, duration(0)};
}

admission_decision admission_controller::enqueue(ticket_info const & candidate,
                                                 time_point now)
{
    duration const wait =
        this->expected_wait(this->queue.count_ahead(candidate), now);
    if (this->is_too_long(candidate, wait, now) ||
        !this->make_room_for(candidate, now))
    {
        return this->refuse(failure_id::overloaded, now);
    }
    this->queue.insert(candidate);
    return {admission_verdict::queued, failure_id::none, duration(0)};
}

bool admission_controller::make_room_for(ticket_info const & candidate,
                                         time_point now)
{
    if (this->queue.tickets().size() < this->options.max_queue_size)
    {
        return true;
    }
    ticket_info const last = *std::prev(this->queue.tickets().end());
    // among equals, the one that waits keeps its place
    if (candidate.urgency >= last.urgency)
    {
        return false;
    }
    this->push_out(last, failure_id::overloaded, now);
    return true;
}

void admission_controller::push_out(ticket_info const & ticket,
                                    failure_id reason,
                                    time_point now)
{
    this->queue.erase(ticket.id);
    this->pushed_out.push_back({ticket.id, this->refuse(reason, now)});
}

// another target may still take those in time
void admission_controller::push_out_lost_ones(time_point now)
{
    if (!this->is_target_open())
    {
        std::vector<ticket_info> const all(this->queue.tickets().begin(),
                                           this->queue.tickets().end());
        for (auto const & ticket : all)
        {
            this->push_out(ticket, failure_id::draining, now);
        }
        return;
    }
    for (auto const & ticket : this->queue.expired(now))
    {
        this->push_out(ticket, failure_id::deadline_too_near, now);
    }
}

// the target may have become slower since they were queued
void admission_controller::push_out_late_ones(time_point now)
{
    if (!this->options.refuse_late || now - this->last_review < review_interval)
    {
        return;
    }
    this->last_review = now;
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
        this->push_out(ticket, failure_id::overloaded, now);
    }
}

void admission_controller::remove_running(ticket_id id)
{
    if (auto const found = this->running.find(id); found != this->running.end())
    {
        this->start_sum -= found->second.started - this->first_start;
        this->running.erase(found);
    }
}

bool admission_controller::is_target_open() const
{
    return this->target.phase == announced_phase::cold ||
           this->target.phase == announced_phase::ready;
}

} // namespace endivehinge

#include <endivehinge/policy/admission_controller.hpp>

#include <algorithm> // clamp, max, min
#include <iterator>  // distance, prev
#include <tuple>     // tie
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

bool admission_controller::by_urgency::operator()(ticket_info const & a,
                                                  ticket_info const & b) const
{
    if (this->by_arrival)
    {
        return a.id < b.id;
    }
    return std::tie(a.urgency, a.deadline, a.id) <
           std::tie(b.urgency, b.deadline, b.id);
}

admission_controller::admission_controller(admission_options chosen)
    : options(chosen)
    , concurrency(chosen.concurrency)
    , queue(by_urgency{!chosen.order_by_urgency})
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
    bool const idle = this->running.empty() && this->queue.empty();
    if (offered.deadline <= now ||
        (!idle && this->would_be_late(offered, duration(0), now)))
    {
        return this->refuse(failure_id::deadline_too_near, now);
    }
    if (this->has_place(offered) && this->goes_first(offered))
    {
        return this->start(offered, now);
    }
    return this->enqueue(offered, now);
}

void admission_controller::finish(ticket_id id,
                                  run_result result,
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
    case run_result::succeeded:
        this->last_answer = now;
        this->concurrency.record(
            now - ended.started, in_flight, now <= ended.deadline);
        break;
    case run_result::failed:
    case run_result::shed:
        this->concurrency.back_off();
        break;
    case run_result::abandoned:
        break;
    }
}

void admission_controller::cancel(ticket_id id)
{
    this->remove_running(id);
    if (auto const found = this->waiting.find(id); found != this->waiting.end())
    {
        this->remove_waiting(found->second);
    }
}

std::vector<ready_ticket> admission_controller::take_ready(time_point now)
{
    this->push_out_lost_ones(now);
    this->push_out_late_ones(now);
    std::vector<ready_ticket> ready = std::exchange(this->pushed_out, {});
    while (!this->queue.empty() && this->has_place(*this->queue.begin()))
    {
        ticket_info const next = this->waiting.at(this->queue.begin()->id);
        this->remove_waiting(next);
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
    signal.in_flight =
        static_cast<double>(this->running.size() + this->queue.size());
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
    return static_cast<std::uint32_t>(this->queue.size());
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

bool admission_controller::goes_first(ticket_info const & candidate) const
{
    return this->queue.empty() ||
           this->queue.key_comp()(candidate, *this->queue.begin());
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
    return now.time_since_epoch() - (this->start_sum / count);
}

duration admission_controller::expected_wait(std::size_t ahead,
                                             time_point now) const
{
    auto const turns = static_cast<duration::rep>(ahead + 1);
    return this->expected_run(now) * turns / this->concurrency.value();
}

std::size_t
admission_controller::count_ahead(ticket_info const & candidate) const
{
    if (!this->options.order_by_urgency)
    {
        return this->queue.size();
    }
    std::size_t not_after = 0;
    for (auto const & [urgency, count] : this->queued_of)
    {
        not_after += urgency <= candidate.urgency ? count : 0;
    }
    // counted from the end of its priority, where a new deadline mostly falls
    ticket_info const next_priority{
        {},
        static_cast<priority>(static_cast<int>(candidate.urgency) + 1),
        time_point::min(),
        true};
    auto const behind = std::distance(this->queue.lower_bound(candidate),
                                      this->queue.lower_bound(next_priority));
    return not_after - static_cast<std::size_t>(behind);
}

admission_decision admission_controller::refuse(failure_id reason,
                                                time_point now) const
{
    duration retry_after = retry_after_without_target;
    if (reason == failure_id::overloaded ||
        reason == failure_id::deadline_too_near)
    {
        retry_after =
            std::clamp<duration>(this->expected_wait(this->queue.size(), now),
                                 shortest_retry_after,
                                 longest_retry_after);
    }
    return {admission_verdict::refused, reason, retry_after};
}

admission_decision admission_controller::start(ticket_info const & candidate,
                                               time_point now)
{
    this->running.emplace(candidate.id,
                          running_ticket{now, candidate.deadline});
    this->start_sum += now.time_since_epoch();
    return {admission_verdict::admitted, failure_id::none, duration(0)};
}

admission_decision admission_controller::enqueue(ticket_info const & candidate,
                                                 time_point now)
{
    duration const wait =
        this->expected_wait(this->count_ahead(candidate), now);
    if (!candidate.may_wait || this->is_too_long(candidate, wait, now) ||
        !this->make_room_for(candidate, now))
    {
        return this->refuse(failure_id::overloaded, now);
    }
    this->queue.insert(candidate);
    ++this->queued_of[candidate.urgency];
    this->earliest_deadline =
        std::min(this->earliest_deadline, candidate.deadline);
    this->waiting.emplace(candidate.id, candidate);
    return {admission_verdict::queued, failure_id::none, duration(0)};
}

bool admission_controller::make_room_for(ticket_info const & candidate,
                                         time_point now)
{
    if (this->queue.size() < this->options.most_queue_places)
    {
        return true;
    }
    ticket_info const last = *std::prev(this->queue.end());
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
    this->remove_waiting(ticket);
    this->pushed_out.push_back({ticket.id, this->refuse(reason, now)});
}

// another target may still take those in time
void admission_controller::push_out_lost_ones(time_point now)
{
    bool const open = this->is_target_open();
    if (open && now < this->earliest_deadline)
    {
        return;
    }
    std::vector<ticket_info> lost;
    this->earliest_deadline = time_point::max();
    for (auto const & ticket : this->queue)
    {
        if (!open || ticket.deadline <= now)
        {
            lost.push_back(ticket);
            continue;
        }
        this->earliest_deadline =
            std::min(this->earliest_deadline, ticket.deadline);
    }
    for (auto const & ticket : lost)
    {
        this->push_out(ticket,
                       open ? failure_id::deadline_too_near
                            : failure_id::draining,
                       now);
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
    for (auto const & ticket : this->queue)
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
        this->start_sum -= found->second.started.time_since_epoch();
        this->running.erase(found);
    }
}

void admission_controller::remove_waiting(ticket_info ticket)
{
    this->queue.erase(ticket);
    this->waiting.erase(ticket.id);
    --this->queued_of[ticket.urgency];
}

bool admission_controller::is_target_open() const
{
    return this->target.phase == announced_phase::cold ||
           this->target.phase == announced_phase::ready;
}

} // namespace endivehinge

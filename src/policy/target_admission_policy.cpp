#include <endivehinge/policy/target_admission_policy.hpp>

#include <algorithm> // find_if, max, min, min_element
#include <iterator>  // make_move_iterator

namespace endivehinge
{
namespace
{

duration scaled(duration value, double factor)
{
    return std::chrono::duration_cast<duration>(value * factor);
}

} // namespace

char const * to_string(admission_refusal reason)
{
    switch (reason)
    {
    case admission_refusal::none:
        return "none";
    case admission_refusal::closed:
        return "closed";
    case admission_refusal::cold:
        return "cold";
    case admission_refusal::busy:
        return "busy";
    case admission_refusal::slow:
        return "slow";
    case admission_refusal::too_late:
        return "too_late";
    case admission_refusal::other_incarnation:
        break;
    }
    return "other_run";
}

target_admission_policy::target_admission_policy(
    target_admission_options chosen)
    : options(chosen)
    , cold(chosen.cold_rate_factor, chosen.cold_burst)
    , slow(chosen)
    , run_times(chosen.run_time_weight, chosen.run_time_memory)
    , usual_run_times(chosen.run_time_weight, chosen.usual_run_time_memory)
{
}

void target_admission_policy::set_slots(std::uint32_t count)
{
    this->slots = count;
}

void target_admission_policy::set_cold(time_point until, double rate)
{
    this->cold.set(until, rate);
}

void target_admission_policy::set_slowdown(double factor, time_point now)
{
    this->slow.heard(factor, now);
}

bool target_admission_policy::try_start_probe(time_point now)
{
    return !this->waiting.empty() && this->running.size() < this->limit() &&
           this->slow.try_start_probe(now);
}

void target_admission_policy::probe_failed(time_point now)
{
    this->slow.probe_failed(now);
}

void target_admission_policy::set_open(bool value)
{
    this->open = value;
}

target_admission_verdict
target_admission_policy::offer(std::string const & route,
                               request_urgency const & urgency,
                               slow_target_action slow_target,
                               time_point now)
{
    admission_ticket const ticket(++this->last_ticket);
    if (!this->open)
    {
        return this->refuse(ticket, admission_refusal::closed, duration(0));
    }
    if (urgency.deadline <= now)
    {
        return this->refuse(ticket, admission_refusal::too_late, duration(0));
    }
    auto const wait = this->expected_wait(urgency, now);
    auto const usable =
        scaled(urgency.deadline - now, this->options.usable_time);
    bool const late =
        now + wait + this->planned_run_time(route, now) > urgency.target_time;
    bool const in_vain =
        wait > duration(0) && wait + this->run_times.of(route, now) > usable;
    if (in_vain || (late && this->is_overloaded(now)) ||
        this->waiting.size() >= this->options.waiting)
    {
        return this->refuse(ticket,
                            this->cold.is_cold(now) ? admission_refusal::cold
                                                    : admission_refusal::busy,
                            wait);
    }
    this->waiting.push_back({ticket, route, urgency, slow_target, now});
    return {ticket,
            target_admission_verdict::action::wait,
            admission_refusal::none,
            wait};
}

void target_admission_policy::finish(admission_ticket ticket,
                                     bool failed,
                                     time_point now)
{
    auto const found = this->running.find(ticket);
    if (found == this->running.end())
    {
        return;
    }
    auto const took = now - found->second.at;
    if (!failed)
    {
        this->run_times.add(found->second.route, took, now);
        this->usual_run_times.add(
            found->second.route, scaled(took, 1 / found->second.slowdown), now);
    }
    this->failure_share += this->options.failure_weight *
                           ((failed ? 1.0 : 0.0) - this->failure_share);
    this->running.erase(found);
}

void target_admission_policy::cancel(admission_ticket ticket)
{
    this->running.erase(ticket);
    auto const found = std::find_if(this->waiting.begin(),
                                    this->waiting.end(),
                                    [ticket](auto const & one)
                                    {
                                        return one.ticket == ticket;
                                    });
    if (found != this->waiting.end())
    {
        this->waiting.erase(found);
    }
}

void target_admission_policy::refuse_late(
    std::vector<target_admission_verdict> & ready, time_point now)
{
    bool const is_full = this->running.size() >= this->limit();
    for (auto one = this->waiting.begin(); one != this->waiting.end();)
    {
        // a target with room runs it: the mean may be that of a slow time
        bool const hopeless =
            one->urgency.deadline <= now ||
            (is_full &&
             one->urgency.deadline - now < this->run_times.of(one->route, now));
        bool const late =
            this->is_overloaded(now) && !this->can_be_on_time(*one, now);
        if (this->open && !hopeless && !late)
        {
            ++one;
            continue;
        }
        auto reason =
            hopeless ? admission_refusal::too_late : admission_refusal::busy;
        if (!this->open)
        {
            reason = admission_refusal::closed;
        }
        ready.push_back(
            this->refuse(one->ticket, reason, this->run_times.overall()));
        one = this->waiting.erase(one);
    }
}

std::vector<target_admission_verdict>
target_admission_policy::take_ready(time_point now)
{
    std::vector<target_admission_verdict> ready;
    this->refuse_late(ready, now);
    std::vector<queued> kept;
    while (!this->waiting.empty() && this->has_room(now))
    {
        auto const next = this->next_queued(now);
        auto const what = this->readiness_of(*next, now);
        if (what == readiness::wait)
        {
            kept.push_back(std::move(*next));
        }
        else if (what != readiness::start)
        {
            auto const reason = what == readiness::decline
                                    ? admission_refusal::slow
                                    : admission_refusal::too_late;
            ready.push_back(
                this->refuse(next->ticket, reason, this->slow.mean_period()));
        }
        else
        {
            this->start(next->ticket, next->route, now);
            ready.push_back({next->ticket,
                             target_admission_verdict::action::start,
                             admission_refusal::none,
                             {}});
        }
        this->waiting.erase(next);
    }
    this->waiting.insert(this->waiting.end(),
                         std::make_move_iterator(kept.begin()),
                         std::make_move_iterator(kept.end()));
    this->note_queue(now);
    return ready;
}

void target_admission_policy::note_queue(time_point now)
{
    if (this->waiting.empty() || this->running.size() < this->limit())
    {
        this->queue_since.reset();
    }
    else if (!this->queue_since)
    {
        this->queue_since = now;
    }
}

bool target_admission_policy::is_overloaded(time_point now) const
{
    return this->queue_since && !this->cold.is_cold(now) &&
           now - *this->queue_since >= this->options.standing_queue;
}

duration target_admission_policy::planned_run_time(std::string const & route,
                                                   time_point now) const
{
    return scaled(this->run_times.of(route, now), this->options.planned_run);
}

target_load target_admission_policy::load() const
{
    target_load seen;
    seen.running = static_cast<std::uint32_t>(this->running.size());
    seen.waiting = static_cast<std::uint32_t>(this->waiting.size());
    seen.limit = static_cast<std::uint32_t>(this->limit());
    seen.slowdown = this->slow.factor();
    seen.failure_share = this->failure_share;
    seen.closed = !this->open;
    return seen;
}

std::optional<time_point>
target_admission_policy::next_review(time_point now) const
{
    std::optional<time_point> next;
    for (auto const & one : this->waiting)
    {
        auto const at =
            one.urgency.deadline - this->run_times.of(one.route, now);
        next = next ? std::min(*next, at) : at;
    }
    if (!this->waiting.empty() && this->slow.is_stated() &&
        this->running.size() < this->limit())
    {
        next = std::min(*next, this->slow.next_review());
    }
    if (auto const at = this->cold.next_room(); next && at > time_point())
    {
        next = std::min(*next, at);
    }
    return next;
}

std::size_t target_admission_policy::limit() const
{
    auto const usable =
        static_cast<std::size_t>(this->options.usable_slots * this->slots);
    return std::max<std::size_t>(usable, 1);
}

bool target_admission_policy::has_room(time_point now)
{
    return this->running.size() < this->limit() && this->cold.has_room(now);
}

target_admission_policy::readiness
target_admission_policy::readiness_of(queued const & one, time_point now) const
{
    if (!this->slow.is_decided(now))
    {
        return readiness::wait;
    }
    if (!this->slow.is_slow())
    {
        return readiness::start;
    }
    return one.slow_target == slow_target_action::decline
               ? readiness::decline
               : this->readiness_while_slow(one, now);
}

target_admission_policy::readiness
target_admission_policy::readiness_while_slow(queued const & one,
                                              time_point now) const
{
    auto const work = this->usual_run_times.of(one.route, now);
    auto const slow_work = scaled(work, this->slow.factor());
    auto const remaining = this->slow.expected_remaining(now);
    bool const can_end = now + slow_work <= one.urgency.deadline;
    bool const still_on_time = now + slow_work <= one.urgency.target_time;
    // a start now ends before one after the slow period would
    bool const start_is_best = slow_work - work <= remaining;
    // after a wait in vain it could not end in time any more
    bool const last_chance =
        now + this->options.slow_patience + slow_work > one.urgency.deadline;
    bool const decides = one.slow_target == slow_target_action::start_or_refuse;
    if (can_end && (decides || still_on_time || start_is_best || last_chance))
    {
        return readiness::start;
    }
    if (decides || now + remaining + work > one.urgency.deadline)
    {
        return readiness::hopeless;
    }
    return now - one.offered < this->options.slow_patience ? readiness::wait
                                                           : readiness::decline;
}

duration target_admission_policy::expected_wait(request_urgency const & urgency,
                                                time_point now) const
{
    std::size_t ahead = this->running.size() < this->limit() ? 0 : 1;
    queued const candidate{admission_ticket(0),
                           "",
                           urgency,
                           slow_target_action::start_or_refuse,
                           now};
    for (auto const & one : this->waiting)
    {
        ahead += this->is_before(candidate, one, now) ? 0 : 1;
    }
    auto const by_slots =
        scaled(this->run_times.overall(),
               static_cast<double>(ahead) / static_cast<double>(this->limit()));
    return std::max(by_slots,
                    this->cold.wait_for(this->waiting.size() + 1, now));
}

bool target_admission_policy::can_be_on_time(queued const & one,
                                             time_point now) const
{
    return now + this->planned_run_time(one.route, now) <=
           one.urgency.target_time;
}

bool target_admission_policy::is_before(queued const & a,
                                        queued const & b,
                                        time_point now) const
{
    bool const a_on_time = this->can_be_on_time(a, now);
    bool const b_on_time = this->can_be_on_time(b, now);
    if (a_on_time != b_on_time)
    {
        return a_on_time;
    }
    if (a.urgency.rank != b.urgency.rank)
    {
        return a.urgency.rank < b.urgency.rank;
    }
    return a.urgency.target_time < b.urgency.target_time;
}

std::vector<target_admission_policy::queued>::iterator
target_admission_policy::next_queued(time_point now)
{
    return std::min_element(this->waiting.begin(),
                            this->waiting.end(),
                            [this, now](queued const & a, queued const & b)
                            {
                                return this->is_before(a, b, now);
                            });
}

void target_admission_policy::start(admission_ticket ticket,
                                    std::string const & route,
                                    time_point now)
{
    this->running[ticket] = {route, now, std::max(this->slow.factor(), 1.0)};
    this->cold.spend();
}

target_admission_verdict target_admission_policy::refuse(
    admission_ticket ticket, admission_refusal reason, duration wait) const
{
    return {ticket, target_admission_verdict::action::refuse, reason, wait};
}

} // namespace endivehinge

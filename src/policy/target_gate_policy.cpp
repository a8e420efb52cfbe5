#include <endivehinge/policy/target_gate_policy.hpp>

#include <algorithm> // find_if, max, min, min_element
#include <iterator>  // make_move_iterator

namespace endivehinge
{
namespace
{

// probes that may be sent at once after a quiet time
constexpr double probe_burst = 10;
// weight of the newest slow period in their mean
constexpr double slow_period_weight = 0.2;
// routes whose run times are kept; bounds memory
constexpr std::size_t known_routes = 256;

duration scaled(duration value, double factor)
{
    return std::chrono::duration_cast<duration>(value * factor);
}

duration moved(duration mean, duration newest, double weight)
{
    return mean.count() == 0 ? newest : mean + scaled(newest - mean, weight);
}

} // namespace

char const * to_string(gate_refusal reason)
{
    switch (reason)
    {
    case gate_refusal::none:
        return "none";
    case gate_refusal::closed:
        return "closed";
    case gate_refusal::cold:
        return "cold";
    case gate_refusal::busy:
        return "busy";
    case gate_refusal::slow:
        return "slow";
    case gate_refusal::too_late:
        return "too_late";
    case gate_refusal::other_run:
        break;
    }
    return "other_run";
}

target_gate_policy::target_gate_policy(gate_options chosen)
    : options(chosen)
    , mean_slow_period(chosen.slow_period)
    , probe_tokens(probe_burst)
{
}

void target_gate_policy::set_slots(std::uint32_t count)
{
    this->slots = count;
}

void target_gate_policy::set_cold(time_point until, double rate)
{
    this->cold_until = until;
    this->cold_rate = rate;
}

void target_gate_policy::set_slowdown(double factor, time_point now)
{
    bool const was_slow = this->slowdown > this->options.slow;
    bool const is_slow = factor > this->options.slow;
    if (is_slow && !was_slow)
    {
        this->slow_since = now;
    }
    if (was_slow && !is_slow)
    {
        this->mean_slow_period = moved(
            this->mean_slow_period, now - this->slow_since, slow_period_weight);
    }
    this->slowdown = factor;
    this->slowdown_heard = now;
    this->states_slowdown = true;
    this->probe_sent.reset();
}

bool target_gate_policy::take_probe(time_point now)
{
    double const passed = to_milliseconds(now - this->tokens_counted) / 1000;
    this->probe_tokens = std::min(
        probe_burst, this->probe_tokens + passed * this->options.probe_rate);
    this->tokens_counted = now;
    bool const wanted =
        this->states_slowdown && !this->waiting.empty() &&
        this->running.size() < this->limit() && !this->is_slowdown_fresh(now) &&
        !this->is_probe_pending(now) && now >= this->probe_pause_ends;
    if (!wanted)
    {
        return false;
    }
    if (this->probe_tokens < 1)
    {
        // decides by what was heard last
        this->probe_pause_ends = now + this->options.probe_interval;
        return false;
    }
    this->probe_tokens -= 1;
    this->probe_sent = now;
    return true;
}

void target_gate_policy::probe_failed(time_point now)
{
    this->probe_sent.reset();
    this->probe_pause_ends = now + this->options.probe_pause;
}

void target_gate_policy::set_open(bool value)
{
    this->open = value;
}

gate_verdict target_gate_policy::offer(std::string const & route,
                                       request_urgency const & urgency,
                                       bool may_decline,
                                       time_point now)
{
    gate_ticket const ticket(++this->last_ticket);
    if (!this->open)
    {
        return this->refuse(ticket, gate_refusal::closed, duration(0));
    }
    if (urgency.deadline <= now)
    {
        return this->refuse(ticket, gate_refusal::too_late, duration(0));
    }
    auto const wait = this->expected_wait(urgency, now);
    auto const usable =
        scaled(urgency.deadline - now, this->options.usable_time);
    bool const late =
        now + wait + this->planned_run_time(route, now) > urgency.target_time;
    bool const in_vain =
        wait > duration(0) && wait + this->run_time(route, now) > usable;
    if (in_vain || (late && this->is_overloaded(now)) ||
        this->waiting.size() >= this->options.waiting)
    {
        return this->refuse(ticket,
                            this->is_cold(now) ? gate_refusal::cold
                                               : gate_refusal::busy,
                            wait);
    }
    this->waiting.push_back({ticket, route, urgency, may_decline, now});
    return {ticket, gate_verdict::action::wait, gate_refusal::none, wait};
}

void target_gate_policy::finish(gate_ticket ticket, bool failed, time_point now)
{
    auto const found = this->running.find(ticket);
    if (found == this->running.end())
    {
        return;
    }
    auto const took = now - found->second.at;
    auto const weight = this->options.run_time_weight;
    if (!failed)
    {
        this->mean_time = moved(this->mean_time, took, weight);
        this->note_run_time(found->second.route, took, now);
    }
    this->failure_share += this->options.failure_weight *
                           ((failed ? 1.0 : 0.0) - this->failure_share);
    this->running.erase(found);
}

void target_gate_policy::cancel(gate_ticket ticket)
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

void target_gate_policy::refuse_late(std::vector<gate_verdict> & ready,
                                     time_point now)
{
    bool const is_full = this->running.size() >= this->limit();
    for (auto one = this->waiting.begin(); one != this->waiting.end();)
    {
        // a target with room runs it: the mean may be that of a slow time
        bool const hopeless = one->urgency.deadline <= now ||
                              (is_full && one->urgency.deadline - now <
                                              this->run_time(one->route, now));
        bool const late =
            this->is_overloaded(now) && !this->can_be_on_time(*one, now);
        if (this->open && !hopeless && !late)
        {
            ++one;
            continue;
        }
        auto reason = hopeless ? gate_refusal::too_late : gate_refusal::busy;
        if (!this->open)
        {
            reason = gate_refusal::closed;
        }
        ready.push_back(this->refuse(one->ticket, reason, this->mean_time));
        one = this->waiting.erase(one);
    }
}

std::vector<gate_verdict> target_gate_policy::take_ready(time_point now)
{
    std::vector<gate_verdict> ready;
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
        else if (what == readiness::decline)
        {
            ready.push_back(this->refuse(
                next->ticket, gate_refusal::slow, this->mean_slow_period));
        }
        else
        {
            this->start(next->ticket, next->route, now);
            ready.push_back({next->ticket,
                             gate_verdict::action::start,
                             gate_refusal::none,
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

void target_gate_policy::note_queue(time_point now)
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

bool target_gate_policy::is_overloaded(time_point now) const
{
    return this->queue_since && !this->is_cold(now) &&
           now - *this->queue_since >= this->options.standing_queue;
}

duration target_gate_policy::planned_run_time(std::string const & route,
                                              time_point now) const
{
    return scaled(this->run_time(route, now), this->options.planned_run);
}

target_load target_gate_policy::load() const
{
    target_load seen;
    seen.running = static_cast<std::uint32_t>(this->running.size());
    seen.waiting = static_cast<std::uint32_t>(this->waiting.size());
    seen.limit = static_cast<std::uint32_t>(this->limit());
    seen.slowdown = this->slowdown;
    seen.failure_share = this->failure_share;
    seen.closed = !this->open;
    return seen;
}

duration target_gate_policy::run_time(std::string const & route,
                                      time_point now) const
{
    auto const found = this->run_times.find(route);
    if (found == this->run_times.end() ||
        now - found->second.noted > this->options.run_time_memory)
    {
        return duration(0);
    }
    return found->second.mean;
}

void target_gate_policy::note_run_time(std::string const & route,
                                       duration took,
                                       time_point now)
{
    if (this->run_times.size() >= known_routes &&
        !this->run_times.contains(route))
    {
        return;
    }
    auto const known = this->run_time(route, now);
    this->run_times[route] = {moved(known, took, this->options.run_time_weight),
                              now};
}

std::optional<time_point> target_gate_policy::next_review(time_point now) const
{
    std::optional<time_point> next;
    for (auto const & one : this->waiting)
    {
        auto const at = one.urgency.deadline - this->run_time(one.route, now);
        next = next ? std::min(*next, at) : at;
    }
    if (!this->waiting.empty() && this->states_slowdown &&
        this->running.size() < this->limit())
    {
        // a slow period may have ended, or a probe has had no answer
        auto const at =
            this->probe_sent
                ? *this->probe_sent + this->options.probe_patience
                : this->slowdown_heard + this->options.probe_interval;
        next = std::min(*next, at);
    }
    if (!this->waiting.empty() && this->cold_rate > 0 && this->cold_tokens < 1)
    {
        auto const until_token =
            std::chrono::duration_cast<duration>(std::chrono::duration<double>(
                (1 - this->cold_tokens) /
                (this->cold_rate * this->options.cold_rate_factor)));
        next = std::min(*next, this->cold_refilled + until_token);
    }
    return next;
}

std::size_t target_gate_policy::limit() const
{
    auto const usable =
        static_cast<std::size_t>(this->options.usable_slots * this->slots);
    return std::max<std::size_t>(usable, 1);
}

bool target_gate_policy::is_cold(time_point now) const
{
    return this->cold_rate > 0 && now < this->cold_until;
}

void target_gate_policy::refill_cold(time_point now)
{
    double const passed = to_milliseconds(now - this->cold_refilled) / 1000;
    this->cold_refilled = now;
    this->cold_tokens =
        std::min(this->options.cold_burst,
                 this->cold_tokens +
                     passed * this->cold_rate * this->options.cold_rate_factor);
}

bool target_gate_policy::has_cold_room(time_point now)
{
    this->refill_cold(now);
    return !this->is_cold(now) || this->cold_tokens >= 1;
}

bool target_gate_policy::has_room(time_point now)
{
    return this->running.size() < this->limit() && this->has_cold_room(now);
}

bool target_gate_policy::is_slowdown_fresh(time_point now) const
{
    return now - this->slowdown_heard <= this->options.fresh;
}

bool target_gate_policy::is_probe_pending(time_point now) const
{
    return this->probe_sent &&
           now - *this->probe_sent < this->options.probe_patience;
}

target_gate_policy::readiness
target_gate_policy::readiness_of(queued const & one, time_point now) const
{
    if (!this->states_slowdown)
    {
        return readiness::start;
    }
    bool const may_probe = now >= this->probe_pause_ends;
    if (!this->is_slowdown_fresh(now) && may_probe)
    {
        return readiness::wait;
    }
    if (this->slowdown <= this->options.slow)
    {
        return readiness::start;
    }
    if (one.may_decline)
    {
        return readiness::decline;
    }
    // what a start now would lose against one after the slow period, which
    // may last as long again as it has lasted
    auto const work = this->run_time(one.route, now);
    auto const lost = scaled(work, this->slowdown - 1);
    auto const remaining =
        std::max(this->mean_slow_period / 2, now - this->slow_since);
    bool const still_on_time =
        now + scaled(work, this->slowdown) <= one.urgency.target_time;
    if (still_on_time || lost <= remaining)
    {
        return readiness::start;
    }
    return now - one.offered < this->options.slow_patience ? readiness::wait
                                                           : readiness::decline;
}

duration target_gate_policy::expected_wait(request_urgency const & urgency,
                                           time_point now) const
{
    std::size_t ahead = this->running.size() < this->limit() ? 0 : 1;
    queued const candidate{gate_ticket(0), "", urgency, false, now};
    for (auto const & one : this->waiting)
    {
        ahead += this->is_before(candidate, one, now) ? 0 : 1;
    }
    auto const by_slots =
        scaled(this->mean_time,
               static_cast<double>(ahead) / static_cast<double>(this->limit()));
    if (!this->is_cold(now))
    {
        return by_slots;
    }
    double const lacking =
        static_cast<double>(this->waiting.size()) + 1 - this->cold_tokens;
    auto const by_rate =
        std::chrono::duration_cast<duration>(std::chrono::duration<double>(
            std::max(lacking, 0.0) /
            (this->cold_rate * this->options.cold_rate_factor)));
    return std::max(by_slots, by_rate);
}

bool target_gate_policy::can_be_on_time(queued const & one,
                                        time_point now) const
{
    return now + this->planned_run_time(one.route, now) <=
           one.urgency.target_time;
}

bool target_gate_policy::is_before(queued const & a,
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

std::vector<target_gate_policy::queued>::iterator
target_gate_policy::next_queued(time_point now)
{
    return std::min_element(this->waiting.begin(),
                            this->waiting.end(),
                            [this, now](queued const & a, queued const & b)
                            {
                                return this->is_before(a, b, now);
                            });
}

void target_gate_policy::start(gate_ticket ticket,
                               std::string const & route,
                               time_point now)
{
    this->running[ticket] = {route, now};
    // taken at all times: a target may turn out to be cold a moment later
    this->cold_tokens = std::max(0.0, this->cold_tokens - 1);
}

gate_verdict target_gate_policy::refuse(gate_ticket ticket,
                                        gate_refusal reason,
                                        duration wait) const
{
    return {ticket, gate_verdict::action::refuse, reason, wait};
}

} // namespace endivehinge

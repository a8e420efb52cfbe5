#include <endivehinge/policy/target_admission_policy.hpp>

#include <algorithm>   // any_of, count_if, find_if, max, min, remove_if, sort
#include <iterator>    // make_move_iterator
#include <numeric>     // iota
#include <string_view> // string_view
#include <utility>     // exchange, move, pair

#include <absl/container/flat_hash_set.h> // flat_hash_set

#include <endivehinge/core/scaled_duration.hpp>

namespace endivehinge
{

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
    case admission_refusal::crashing:
        return "crashing";
    case admission_refusal::limited:
        return "limited";
    case admission_refusal::other_incarnation:
        break;
    }
    return "other_run";
}

target_admission_policy::target_admission_policy(
    target_admission_options chosen)
    : options(chosen)
    , cold_limiter(chosen.cold_burst)
    , slowdown_state(chosen)
    , run_times(chosen.run_time_weight, chosen.run_time_max_age)
    , base_run_times(chosen.run_time_weight, chosen.base_run_time_max_age)
{
}

void target_admission_policy::set_slots(std::uint32_t count)
{
    this->concurrency.set_slots(count);
}

void target_admission_policy::set_cold(time_point until,
                                       double rate,
                                       cold_rate_bound const & bound)
{
    this->cold_limiter.set(until, rate, bound);
}

void target_admission_policy::confirm_warm(time_point known_at)
{
    this->cold_limiter.confirm_warm(known_at);
}

bool target_admission_policy::needs_cold_check(time_point now) const
{
    return this->cold_limiter.needs_confirmation(now);
}

void target_admission_policy::set_stated_rate(std::optional<double> rate,
                                              time_point now)
{
    this->stated_limiter.set(rate, now);
}

void target_admission_policy::set_slowdown(double factor, time_point now)
{
    this->slowdown_state.update(factor, this->cold_limiter.is_cold(now), now);
}

bool target_admission_policy::try_start_probe(time_point now)
{
    return !this->waiting.empty() && this->running.size() < this->limit() &&
           this->slowdown_state.try_start_probe(now);
}

void target_admission_policy::probe_failed(time_point now)
{
    this->slowdown_state.probe_failed(now);
}

void target_admission_policy::set_open(bool value)
{
    this->open = value;
}

target_admission_verdict
target_admission_policy::offer(std::string const & route,
                               request_urgency const & urgency,
                               slow_target_action slow_action,
                               time_point now,
                               bool is_suspect,
                               weighted_account const & account)
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
    queued_request arrival{
        ticket, route, urgency, slow_action, now, is_suspect, account};
    auto const wait = this->expected_wait(arrival, now);
    if (!this->is_servable(arrival, wait, now) &&
        !this->displace_for(arrival, now))
    {
        return this->refuse_for_capacity(
            arrival, this->capacity_refusal(now), wait, now);
    }
    this->waiting.push_back(std::move(arrival));
    return {ticket,
            target_admission_verdict::action::wait,
            admission_refusal::none,
            wait};
}

bool target_admission_policy::is_servable(queued_request const & arrival,
                                          duration wait,
                                          time_point now) const
{
    auto const usable_time =
        scaled(arrival.urgency.deadline - now, this->options.usable_time_share);
    // requests of accounts that used less will overtake it
    double const overtaking = arrival.account.name.value().empty()
                                  ? 1
                                  : this->options.overtaken_wait_factor;
    bool const is_late = this->misses_target_time(
        arrival.route, arrival.urgency, now, now + scaled(wait, overtaking));
    bool const misses_deadline =
        wait > duration(0) &&
        wait + this->run_times.mean_for(arrival.route, now) > usable_time;
    return !misses_deadline && !(is_late && this->is_overloaded(now)) &&
           this->waiting.size() < this->options.max_waiting;
}

bool target_admission_policy::displace_for(queued_request const & arrival,
                                           time_point now)
{
    if (arrival.account.name.value().empty())
    {
        return false;
    }
    auto const virtual_starts = this->queued_virtual_starts(now);
    double furthest = this->virtual_start_of(arrival, now);
    std::optional<std::size_t> chosen;
    for (std::size_t i = 0; i < this->waiting.size(); ++i)
    {
        auto const & request = this->waiting[i];
        if (!request.account.name.value().empty() &&
            request.account.name != arrival.account.name &&
            request.urgency.rank >= arrival.urgency.rank &&
            virtual_starts[i] > furthest)
        {
            furthest = virtual_starts[i];
            chosen = i;
        }
    }
    if (!chosen)
    {
        return false;
    }
    auto const position =
        this->waiting.begin() + static_cast<std::ptrdiff_t>(*chosen);
    auto request = std::move(*position);
    this->waiting.erase(position);
    auto const wait = this->expected_wait(arrival, now);
    if (!this->is_servable(arrival, wait, now))
    {
        this->waiting.insert(this->waiting.begin() +
                                 static_cast<std::ptrdiff_t>(*chosen),
                             std::move(request));
        return false;
    }
    this->displaced.push_back(this->refuse_for_capacity(
        request, this->capacity_refusal(now), wait, now));
    return true;
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
    auto const run_time = now - found->second.started_at;
    if (!failed)
    {
        this->run_times.add(found->second.route, run_time, now);
        this->base_run_times.add(found->second.route,
                                 scaled(run_time, 1 / found->second.slowdown),
                                 now);
        if (!found->second.was_cold)
        {
            this->concurrency.record(
                found->second.route,
                found->second.concurrency,
                scaled(run_time, 1 / found->second.slowdown),
                now);
        }
    }
    if (!found->second.account.value().empty())
    {
        this->shares.record_end(
            found->second.account, found->second.estimate, run_time, now);
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
                                    [ticket](auto const & request)
                                    {
                                        return request.ticket == ticket;
                                    });
    if (found != this->waiting.end())
    {
        this->waiting.erase(found);
    }
    auto const refused = std::find_if(this->displaced.begin(),
                                      this->displaced.end(),
                                      [ticket](auto const & verdict)
                                      {
                                          return verdict.ticket == ticket;
                                      });
    if (refused != this->displaced.end())
    {
        this->displaced.erase(refused);
    }
}

void target_admission_policy::refuse_unservable(
    std::vector<target_admission_verdict> & verdicts, time_point now)
{
    bool const is_full = this->running.size() >= this->limit();
    bool const runs_suspect = this->is_suspect_running();
    for (auto request = this->waiting.begin(); request != this->waiting.end();)
    {
        // with a free slot, the request runs despite a long mean run time,
        // which may stem from a slow period
        bool const must_wait = is_full || (request->is_suspect && runs_suspect);
        bool const cannot_finish =
            request->urgency.deadline <= now ||
            (must_wait && request->urgency.deadline - now <
                              this->run_times.mean_for(request->route, now));
        bool const is_late =
            this->is_overloaded(now) &&
            this->misses_target_time(
                request->route, request->urgency, request->offered_at, now);
        if (this->open && !cannot_finish && !is_late)
        {
            ++request;
            continue;
        }
        auto reason = cannot_finish ? admission_refusal::too_late
                                    : admission_refusal::busy;
        if (!this->open)
        {
            reason = admission_refusal::closed;
        }
        auto const wait = this->run_times.overall_mean();
        verdicts.push_back(
            reason == admission_refusal::busy
                ? this->refuse_for_capacity(*request, reason, wait, now)
                : this->refuse(request->ticket, reason, wait));
        request = this->waiting.erase(request);
    }
}

std::vector<target_admission_verdict>
target_admission_policy::take_ready(time_point now)
{
    auto verdicts = std::exchange(this->displaced, {});
    this->refuse_unservable(verdicts, now);
    std::vector<queued_request> still_waiting;
    while (!this->waiting.empty() && this->can_start(now))
    {
        auto const next = this->next_queued(now);
        auto const state = this->readiness_of(*next, now);
        if (state == readiness::wait)
        {
            still_waiting.push_back(std::move(*next));
        }
        else if (state != readiness::start)
        {
            auto const reason = state == readiness::decline
                                    ? admission_refusal::slow
                                    : admission_refusal::too_late;
            verdicts.push_back(
                this->refuse(next->ticket,
                             reason,
                             this->slowdown_state.mean_slow_duration()));
        }
        else
        {
            this->start(*next, now);
            verdicts.push_back({next->ticket,
                                target_admission_verdict::action::start,
                                admission_refusal::none,
                                {}});
        }
        this->waiting.erase(next);
    }
    this->waiting.insert(this->waiting.end(),
                         std::make_move_iterator(still_waiting.begin()),
                         std::make_move_iterator(still_waiting.end()));
    this->update_queueing_since(now);
    this->refuse_overtaken(verdicts, now);
    return verdicts;
}

void target_admission_policy::refuse_overtaken(
    std::vector<target_admission_verdict> & verdicts, time_point now)
{
    if (!this->is_overloaded(now) || !this->has_accounts())
    {
        return;
    }
    auto const virtual_starts = this->queued_virtual_starts(now);
    std::vector<std::size_t> order(this->waiting.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(),
              order.end(),
              [&](std::size_t a, std::size_t b)
              {
                  return this->runs_before(this->waiting[a],
                                           virtual_starts[a],
                                           this->waiting[b],
                                           virtual_starts[b],
                                           now);
              });
    std::size_t requests_ahead = 0;
    absl::flat_hash_set<admission_ticket> refused;
    for (auto const index : order)
    {
        auto const & request = this->waiting[index];
        auto const wait = std::max(this->slot_wait(requests_ahead, now),
                                   this->rate_wait(requests_ahead + 1, now));
        if (request.account.name.value().empty() ||
            !this->misses_target_time(
                request.route, request.urgency, request.offered_at, now + wait))
        {
            ++requests_ahead;
            continue;
        }
        refused.insert(request.ticket);
        verdicts.push_back(this->refuse_for_capacity(
            request, this->capacity_refusal(now), wait, now));
    }
    this->waiting.erase(std::remove_if(this->waiting.begin(),
                                       this->waiting.end(),
                                       [&refused](auto const & request)
                                       {
                                           return refused.contains(
                                               request.ticket);
                                       }),
                        this->waiting.end());
}

void target_admission_policy::update_queueing_since(time_point now)
{
    bool const within_rate =
        this->rate_wait(this->waiting.size(), now) == duration(0);
    bool const queueing =
        !this->waiting.empty() &&
        (this->running.size() >= this->limit() || !within_rate);
    if (queueing)
    {
        this->queueing_since = this->queueing_since.value_or(now);
        this->last_queueing = now;
    }
    else if (now - this->last_queueing >= this->options.overload_end_duration)
    {
        this->queueing_since.reset();
    }
}

bool target_admission_policy::is_overloaded(time_point now) const
{
    return this->queueing_since &&
           now - *this->queueing_since >= this->options.overload_queue_duration;
}

duration target_admission_policy::planned_run_time(std::string const & route,
                                                   time_point now) const
{
    return scaled(this->run_times.mean_for(route, now),
                  this->options.planned_run_time_factor);
}

duration
target_admission_policy::default_run_time(request_urgency const & urgency,
                                          time_point offered_at) const
{
    return scaled(urgency.target_time - offered_at,
                  this->options.default_run_time_share);
}

bool target_admission_policy::misses_target_time(
    std::string const & route,
    request_urgency const & urgency,
    time_point offered_at,
    time_point start) const
{
    auto run_time = this->planned_run_time(route, start);
    if (run_time == duration(0))
    {
        run_time = this->default_run_time(urgency, offered_at);
    }
    bool const is_always_late = offered_at + run_time > urgency.target_time;
    if (is_always_late && this->cold_limiter.is_cold(start))
    {
        return start - offered_at > this->options.max_late_wait;
    }
    return start + run_time > urgency.target_time;
}

target_load target_admission_policy::load(time_point now) const
{
    target_load current_load;
    current_load.running = static_cast<std::uint32_t>(this->running.size());
    current_load.waiting = static_cast<std::uint32_t>(this->waiting.size());
    current_load.limit = static_cast<std::uint32_t>(this->limit());
    current_load.slowdown = this->slowdown_state.factor();
    current_load.failure_share = this->failure_share;
    current_load.closed = !this->open;
    current_load.start_delay = this->rate_wait(this->waiting.size() + 1, now);
    current_load.start_interval =
        std::max(this->cold_limiter.start_interval(now),
                 this->stated_limiter.start_interval());
    current_load.stated_rate = this->stated_limiter.limit();
    return current_load;
}

std::optional<time_point>
target_admission_policy::next_review(time_point now) const
{
    std::optional<time_point> next;
    for (auto const & request : this->waiting)
    {
        auto const review_time = request.urgency.deadline -
                                 this->run_times.mean_for(request.route, now);
        next = next ? std::min(*next, review_time) : review_time;
    }
    if (!this->waiting.empty() && this->slowdown_state.is_reported() &&
        this->running.size() < this->limit())
    {
        next = std::min(*next, this->slowdown_state.next_review());
    }
    for (auto const review_time : {this->cold_limiter.next_start_time(),
                                   this->stated_limiter.next_start_time()})
    {
        if (next && review_time > time_point())
        {
            next = std::min(*next, review_time);
        }
    }
    return next;
}

std::size_t target_admission_policy::limit() const
{
    return this->concurrency.limit();
}

bool target_admission_policy::is_suspect_running() const
{
    return std::any_of(this->running.begin(),
                       this->running.end(),
                       [](auto const & entry)
                       {
                           return entry.second.is_suspect;
                       });
}

duration target_admission_policy::suspect_wait(request_urgency const & urgency,
                                               time_point now) const
{
    auto const waiting_suspects = std::count_if(this->waiting.begin(),
                                                this->waiting.end(),
                                                [](auto const & request)
                                                {
                                                    return request.is_suspect;
                                                });
    auto const suspects =
        waiting_suspects + (this->is_suspect_running() ? 1 : 0);
    auto const mean = this->run_times.overall_mean();
    auto const run_time =
        mean > duration(0) ? mean : this->default_run_time(urgency, now);
    return run_time * suspects;
}

bool target_admission_policy::can_start(time_point now)
{
    return this->running.size() < this->limit() &&
           this->cold_limiter.can_start(now) &&
           this->stated_limiter.can_start(now);
}

duration target_admission_policy::rate_wait(std::size_t requests,
                                            time_point now) const
{
    return std::max(this->cold_limiter.time_until_start(requests, now),
                    this->stated_limiter.time_until_start(requests, now));
}

admission_refusal
target_admission_policy::capacity_refusal(time_point now) const
{
    if (this->stated_limiter.limit())
    {
        return admission_refusal::limited;
    }
    return this->cold_limiter.is_cold(now) ? admission_refusal::cold
                                           : admission_refusal::busy;
}

target_admission_policy::readiness
target_admission_policy::readiness_of(queued_request const & request,
                                      time_point now) const
{
    if (!this->slowdown_state.is_usable(now) ||
        (request.is_suspect && this->is_suspect_running()))
    {
        return readiness::wait;
    }
    if (!this->slowdown_state.is_slow())
    {
        return readiness::start;
    }
    return request.slow_action == slow_target_action::decline
               ? readiness::decline
               : this->readiness_while_slow(request, now);
}

target_admission_policy::readiness
target_admission_policy::readiness_while_slow(queued_request const & request,
                                              time_point now) const
{
    auto const known_run_time =
        this->base_run_times.mean_for(request.route, now);
    auto const base_run_time =
        known_run_time > duration(0)
            ? known_run_time
            : this->default_run_time(request.urgency, request.offered_at);
    auto const slow_run_time =
        scaled(base_run_time, this->slowdown_state.factor());
    auto const slow_time_left = this->slowdown_state.expected_remaining(now);
    bool const meets_deadline = now + slow_run_time <= request.urgency.deadline;
    bool const meets_target_time =
        now + slow_run_time <= request.urgency.target_time;
    // starting now finishes no later than starting after the slow period
    bool const start_now_is_faster =
        slow_run_time - base_run_time <= slow_time_left;
    // a start after an unsuccessful wait misses the deadline
    bool const wait_would_miss_deadline =
        now + this->options.max_slow_wait + slow_run_time >
        request.urgency.deadline;
    bool const must_decide =
        request.slow_action == slow_target_action::start_or_refuse;
    if (meets_deadline && (must_decide || meets_target_time ||
                           start_now_is_faster || wait_would_miss_deadline))
    {
        return readiness::start;
    }
    if (must_decide ||
        now + slow_time_left + base_run_time > request.urgency.deadline)
    {
        return readiness::too_late;
    }
    return now - request.offered_at < this->options.max_slow_wait
               ? readiness::wait
               : readiness::decline;
}

duration target_admission_policy::expected_wait(queued_request const & arrival,
                                                time_point now) const
{
    auto candidate = arrival;
    // any request that arrives on time counts as one that can meet its target
    candidate.route.clear();
    bool const has_account = !arrival.account.name.value().empty();
    auto const virtual_starts = this->queued_virtual_starts(now);
    double const virtual_start = this->virtual_start_of(arrival, now);
    std::size_t requests_ahead = 0;
    for (std::size_t i = 0; i < this->waiting.size(); ++i)
    {
        requests_ahead += this->runs_before(candidate,
                                            virtual_start,
                                            this->waiting[i],
                                            virtual_starts[i],
                                            now)
                              ? 0
                              : 1;
    }
    auto const wait = std::max(
        this->slot_wait(requests_ahead, now),
        this->rate_wait(
            (has_account ? requests_ahead : this->waiting.size()) + 1, now));
    return arrival.is_suspect
               ? std::max(wait, this->suspect_wait(arrival.urgency, now))
               : wait;
}

bool target_admission_policy::has_accounts() const
{
    return std::any_of(this->waiting.begin(),
                       this->waiting.end(),
                       [](auto const & request)
                       {
                           return !request.account.name.value().empty();
                       });
}

std::vector<double>
target_admission_policy::queued_virtual_starts(time_point now) const
{
    std::vector<double> result(this->waiting.size(), 0);
    if (!this->has_accounts())
    {
        return result;
    }
    absl::flat_hash_map<std::pair<std::string_view, std::uint32_t>, std::size_t>
        requests_ahead;
    for (std::size_t i = 0; i < this->waiting.size(); ++i)
    {
        auto const & request = this->waiting[i];
        auto & ahead = requests_ahead[{request.account.name.value(),
                                       request.urgency.rank}];
        result[i] = this->shares.virtual_start(request.account, ahead, now);
        ++ahead;
    }
    return result;
}

double target_admission_policy::virtual_start_of(queued_request const & arrival,
                                                 time_point now) const
{
    if (arrival.account.name.value().empty() && !this->has_accounts())
    {
        return 0;
    }
    auto const ahead =
        std::count_if(this->waiting.begin(),
                      this->waiting.end(),
                      [&arrival](auto const & request)
                      {
                          return request.urgency.rank == arrival.urgency.rank &&
                                 request.account.name == arrival.account.name;
                      });
    return this->shares.virtual_start(
        arrival.account, static_cast<std::size_t>(ahead), now);
}

duration target_admission_policy::slot_wait(std::size_t requests_ahead,
                                            time_point now) const
{
    auto const mean = this->run_times.overall_mean();
    // a request that runs longer than the mean may end at any time
    auto const overdue_remaining =
        scaled(mean, 1 / static_cast<double>(this->limit()));
    std::vector<duration> remaining;
    remaining.reserve(std::max(this->limit(), this->running.size()));
    for (auto const & [ticket, request] : this->running)
    {
        auto const route_mean = this->run_times.mean_for(request.route, now);
        auto const run_time = route_mean > duration(0) ? route_mean : mean;
        remaining.push_back(
            std::max(request.started_at + run_time - now, overdue_remaining));
    }
    // free slots
    remaining.resize(std::max(this->limit(), remaining.size()), duration(0));
    std::sort(remaining.begin(), remaining.end());
    auto const rounds =
        static_cast<std::int64_t>(requests_ahead / remaining.size());
    return remaining[requests_ahead % remaining.size()] + mean * rounds;
}

bool target_admission_policy::can_meet_target_time(
    queued_request const & request, time_point now) const
{
    return now + this->planned_run_time(request.route, now) <=
           request.urgency.target_time;
}

bool target_admission_policy::runs_before(queued_request const & a,
                                          double virtual_start_of_a,
                                          queued_request const & b,
                                          double virtual_start_of_b,
                                          time_point now) const
{
    bool const a_meets_target_time = this->can_meet_target_time(a, now);
    bool const b_meets_target_time = this->can_meet_target_time(b, now);
    if (a_meets_target_time != b_meets_target_time)
    {
        return a_meets_target_time;
    }
    if (a.urgency.rank != b.urgency.rank)
    {
        return a.urgency.rank < b.urgency.rank;
    }
    if (virtual_start_of_a != virtual_start_of_b)
    {
        return virtual_start_of_a < virtual_start_of_b;
    }
    return a.urgency.target_time < b.urgency.target_time;
}

std::vector<target_admission_policy::queued_request>::iterator
target_admission_policy::next_queued(time_point now)
{
    bool const uses_shares = this->has_accounts();
    auto const virtual_start = [&](queued_request const & request)
    {
        return uses_shares ? this->shares.virtual_start(request.account, 0, now)
                           : 0;
    };
    auto best = this->waiting.begin();
    double best_start = virtual_start(*best);
    for (auto request = best + 1; request != this->waiting.end(); ++request)
    {
        double const start = virtual_start(*request);
        if (this->runs_before(*request, start, *best, best_start, now))
        {
            best = request;
            best_start = start;
        }
    }
    return best;
}

void target_admission_policy::start(queued_request const & request,
                                    time_point now)
{
    auto estimate = this->run_times.mean_for(request.route, now);
    if (estimate == duration(0))
    {
        estimate = this->default_run_time(request.urgency, request.offered_at);
    }
    if (!request.account.name.value().empty())
    {
        this->shares.record_start(request.account, estimate, now);
    }
    running_request const started{request.route,
                                  now,
                                  std::max(this->slowdown_state.factor(), 1.0),
                                  request.is_suspect,
                                  request.account.name,
                                  estimate,
                                  this->running.size() + 1,
                                  this->cold_limiter.is_cold(now)};
    this->running[request.ticket] = started;
    this->cold_limiter.record_start(now);
    this->stated_limiter.record_start();
}

target_admission_verdict target_admission_policy::refuse(
    admission_ticket ticket, admission_refusal reason, duration wait) const
{
    return {ticket, target_admission_verdict::action::refuse, reason, wait};
}

target_admission_verdict
target_admission_policy::refuse_for_capacity(queued_request const & request,
                                             admission_refusal reason,
                                             duration wait,
                                             time_point now) const
{
    auto verdict = this->refuse(request.ticket, reason, wait);
    verdict.share_used = this->shares.has_used_share(request.account, now);
    verdict.retry_after =
        std::max(wait, this->shares.time_until_share(request.account, now));
    return verdict;
}

} // namespace endivehinge

#include "admission_simulation.hpp"

#include <algorithm> // max
#include <utility>   // move

#include <absl/strings/numbers.h> // SimpleAtoi
#include <absl/strings/str_cat.h> // StrCat

namespace endivehinge::tests
{
namespace
{

using std::chrono::milliseconds;

time_point const start_time{std::chrono::seconds(1000)};
// later than the end of every plan
constexpr duration simulation_end = std::chrono::hours(1);
constexpr duration shortest_review = milliseconds(1);

std::size_t index_of(target_id const & id)
{
    std::size_t index = 0;
    static_cast<void>(absl::SimpleAtoi(id.value(), &index));
    return index;
}

} // namespace

admission_simulation::admission_simulation(admission_simulation_plan chosen,
                                           std::uint64_t seed)
    : plan(std::move(chosen))
    , random(seed)
    , load_views(this->plan.nodes, std::vector<load_view>(this->plan.targets))
    , backoffs(this->plan.nodes)
{
    for (std::size_t i = 0; i < this->plan.targets; ++i)
    {
        auto & target =
            *this->targets.emplace_back(std::make_unique<target_state>());
        target.policy.set_slots(this->plan.slots);
        target.policy.set_open(true);
        target.policy.set_cold(this->now() + this->plan.cold_until,
                               this->plan.cold_rate,
                               this->plan.cold_bound);
        target.policy.set_slowdown(this->current_slowdown(i), this->now());
    }
}

void admission_simulation::add_requests(duration from,
                                        duration to,
                                        duration interval)
{
    for (auto arrival = from; arrival < to; arrival += interval)
    {
        this->events.after(arrival - this->events.now(),
                           [this]
                           {
                               auto const request =
                                   std::make_shared<request_state>();
                               request->account.rank = 1;
                               this->requests.push_back(request);
                               this->arrive(request);
                           });
    }
}

void admission_simulation::add_account_requests(account_load const & load,
                                                duration from,
                                                duration to)
{
    std::exponential_distribution<double> gap(load.requests_per_second);
    auto const next_gap = [this, &gap]
    {
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(gap(this->random)));
    };
    for (auto arrival = from + next_gap(); arrival < to; arrival += next_gap())
    {
        this->events.after(arrival - this->events.now(),
                           [this, load]
                           {
                               auto const request =
                                   std::make_shared<request_state>();
                               request->account = load;
                               this->requests.push_back(request);
                               this->arrive(request);
                           });
    }
}

void admission_simulation::arrive(request_pointer const & request)
{
    // requests without an account have no retries
    request->arrival =
        request->retries == 0 ? this->events.now() : request->arrival;
    request->node =
        (this->requests.size() - 1 + request->retries) % this->plan.nodes;
    request->urgency = {request->account.rank,
                        this->now() + this->plan.latency_target,
                        this->now() + this->plan.time_limit};
    request->limit = placement_limit(this->now(), this->plan.run_time);
    request->rounds = {};
    request->tried_targets.clear();
    request->share_used = false;
    request->retry_after = duration(0);
    if (this->backoffs[request->node].remaining(service_name(),
                                                request->account.name,
                                                request->urgency.rank,
                                                this->now()))
    {
        this->refuse(request);
        return;
    }
    this->place(request);
}

void admission_simulation::refuse(request_pointer const & request)
{
    if (request->share_used)
    {
        this->backoffs[request->node].record_refusal(service_name(),
                                                     request->account.name,
                                                     request->urgency.rank,
                                                     request->retry_after,
                                                     this->now());
    }
    if (request->retries < request->account.max_retries)
    {
        request->retries += 1;
        this->events.after(request->account.retry_delay,
                           [this, request]
                           {
                               this->arrive(request);
                           });
        return;
    }
    this->finish_request(*request, true);
}

void admission_simulation::run()
{
    while (this->events.step(simulation_end))
    {
    }
}

admission_simulation_summary admission_simulation::summary(duration from,
                                                           duration to) const
{
    admission_simulation_summary result;
    for (auto const & request : this->requests)
    {
        if (request->arrival < from || request->arrival >= to)
        {
            continue;
        }
        result.max_placements =
            std::max(result.max_placements, request->placements);
        auto const elapsed =
            request->ended_at.value_or(simulation_end) - request->arrival;
        if (request->refused && elapsed < this->plan.time_limit)
        {
            result.refused += 1;
            result.refusal_time += elapsed;
            result.longest_refusal = std::max(result.longest_refusal, elapsed);
        }
        else if (request->refused || elapsed >= this->plan.time_limit)
        {
            result.unanswered += 1;
        }
        else
        {
            (elapsed <= this->plan.latency_target ? result.on_time
                                                  : result.late) += 1;
        }
    }
    return result;
}

account_summary admission_simulation::summary_of(account_name const & account,
                                                 duration from,
                                                 duration to) const
{
    account_summary result;
    for (auto const & request : this->requests)
    {
        if (request->account.name == account && request->arrival >= from &&
            request->arrival < to)
        {
            result.sent += 1;
            result.answered += request->ended_at && !request->refused ? 1 : 0;
        }
    }
    return result;
}

std::size_t admission_simulation::offers() const
{
    return this->offer_count;
}

time_point admission_simulation::now() const
{
    return start_time + this->events.now();
}

double admission_simulation::current_slowdown(std::size_t target) const
{
    return this->plan.slowdown(target, this->events.now());
}

std::optional<std::size_t>
admission_simulation::choose(request_state const & request)
{
    std::vector<target_candidate> candidates;
    for (std::size_t i = 0; i < this->targets.size(); ++i)
    {
        if (request.tried_targets.contains(i))
        {
            continue;
        }
        auto const & view = this->load_views[request.node][i];
        target_candidate candidate;
        candidate.id = target_id(absl::StrCat(i));
        candidate.same_domain = true;
        candidate.load = view.load;
        candidate.load_age = this->events.now() - view.updated_at;
        candidate.sent_since = view.sent_since;
        candidates.push_back(std::move(candidate));
    }
    std::uniform_real_distribution<double> distribution(0, 1);
    auto const best =
        this->selector.choose(candidates,
                              {this->plan.run_time, this->plan.latency_target},
                              [this, &distribution]
                              {
                                  return distribution(this->random);
                              });
    return best ? std::make_optional(index_of(candidates[*best].id))
                : std::nullopt;
}

void admission_simulation::place(request_pointer const & request)
{
    if (this->now() >= request->urgency.deadline)
    {
        this->refuse(request);
        return;
    }
    bool const can_place =
        request->limit.allows_placement(request->urgency, this->now());
    auto chosen = can_place && !request->rounds.is_round_over()
                      ? this->choose(*request)
                      : std::nullopt;
    if (can_place && !chosen)
    {
        for (auto const & slow_target :
             request->rounds.start_next_round(this->now()))
        {
            request->tried_targets.erase(index_of(slow_target));
        }
        chosen = this->choose(*request);
    }
    if (!chosen)
    {
        this->refuse(request);
        return;
    }
    request->tried_targets.insert(*chosen);
    request->placements += 1;
    request->limit.record_placement();
    this->load_views[request->node][*chosen].sent_since += 1;
    this->events.after(this->plan.hop_latency,
                       [this,
                        request,
                        target = *chosen,
                        slow_action = request->rounds.next_action(this->now())]
                       {
                           this->offer(request, target, slow_action);
                       });
}

void admission_simulation::offer(request_pointer const & request,
                                 std::size_t target,
                                 slow_target_action slow_action)
{
    auto & state = *this->targets[target];
    auto const verdict =
        state.policy.offer("route",
                           request->urgency,
                           slow_action,
                           this->now(),
                           false,
                           {request->account.name, request->account.weight});
    this->offer_count += 1;
    if (verdict.decision == target_admission_verdict::action::refuse)
    {
        this->handle_refusal(request, target, verdict);
        return;
    }
    request->slow_action = slow_action;
    state.requests[verdict.ticket] = request;
    this->review(target);
}

void admission_simulation::handle_refusal(
    request_pointer const & request,
    std::size_t target,
    target_admission_verdict const & verdict)
{
    this->events.after(
        this->plan.hop_latency,
        [this, request, target, verdict]
        {
            this->update_load_view(request->node, target);
            request->limit.record_refusal(verdict.reason);
            if (verdict.share_used)
            {
                request->share_used = true;
                request->retry_after =
                    std::max(request->retry_after, verdict.retry_after);
            }
            if (verdict.reason == admission_refusal::slow)
            {
                request->rounds.record_decline(target_id(absl::StrCat(target)),
                                               request->slow_action);
            }
            this->place(request);
        });
}

void admission_simulation::review(std::size_t target)
{
    auto & state = *this->targets[target];
    for (auto const & verdict : state.policy.take_ready(this->now()))
    {
        if (verdict.decision == target_admission_verdict::action::start)
        {
            this->start(verdict.ticket, target);
            continue;
        }
        auto const entry = state.requests.extract(verdict.ticket);
        this->handle_refusal(entry.mapped(), target, verdict);
    }
    if (state.policy.try_start_probe(this->now()))
    {
        this->events.after(2 * this->plan.hop_latency,
                           [this, target]
                           {
                               this->targets[target]->policy.set_slowdown(
                                   this->current_slowdown(target), this->now());
                               this->review(target);
                           });
    }
    if (auto const next = state.policy.next_review(this->now()))
    {
        this->events.after(
            std::max<duration>(*next - this->now(), shortest_review),
            [this, target]
            {
                this->review(target);
            });
    }
}

void admission_simulation::start(admission_ticket ticket, std::size_t target)
{
    auto const load = this->targets[target]->policy.load(this->now());
    bool const is_nearly_full = load.running * 10 > this->plan.slots * 8;
    auto const run_time = std::chrono::duration_cast<duration>(
        this->plan.run_time * this->current_slowdown(target) *
        (is_nearly_full ? this->plan.nearly_full_slowdown(this->events.now())
                        : 1.0));
    this->events.after(
        run_time,
        [this, ticket, target]
        {
            auto & state = *this->targets[target];
            auto const entry = state.requests.extract(ticket);
            state.policy.finish(ticket, false, this->now());
            state.policy.set_slowdown(this->current_slowdown(target),
                                      this->now());
            this->events.after(
                this->plan.hop_latency,
                [this, target, request = entry.mapped()]
                {
                    this->update_load_view(request->node, target);
                    this->backoffs[request->node].record_answer(
                        service_name(), request->account.name, this->now());
                    this->finish_request(*request, false);
                });
            this->review(target);
        });
}

void admission_simulation::update_load_view(std::size_t node,
                                            std::size_t target)
{
    this->load_views[node][target] = {
        this->targets[target]->policy.load(this->now()), this->events.now(), 0};
}

void admission_simulation::finish_request(request_state & request,
                                          bool was_refused)
{
    request.refused = was_refused;
    request.ended_at = this->events.now();
}

} // namespace endivehinge::tests

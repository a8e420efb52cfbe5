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
// far beyond the end of every plan
constexpr duration whole_run = std::chrono::hours(1);
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
    , known(this->plan.nodes, std::vector<known_load>(this->plan.targets))
{
    for (std::size_t i = 0; i < this->plan.targets; ++i)
    {
        auto & target =
            *this->targets.emplace_back(std::make_unique<target_state>());
        target.gate.set_slots(this->plan.slots);
        target.gate.set_open(true);
        target.gate.set_slowdown(this->factor(i), this->now());
    }
}

void admission_simulation::arrive(duration from, duration to, duration interval)
{
    for (auto at = from; at < to; at += interval)
    {
        this->events.after(
            at - this->events.now(),
            [this]
            {
                auto const request = std::make_shared<request_state>();
                request->arrival = this->events.now();
                request->node = this->requests.size() % this->plan.nodes;
                request->urgency = {1,
                                    this->now() + this->plan.latency_target,
                                    this->now() + this->plan.time_limit};
                this->requests.push_back(request);
                this->place(request);
            });
    }
}

void admission_simulation::run()
{
    while (this->events.step(whole_run))
    {
    }
}

admission_simulation_summary admission_simulation::summary(duration from,
                                                           duration to) const
{
    admission_simulation_summary found;
    for (auto const & one : this->requests)
    {
        if (one->arrival < from || one->arrival >= to)
        {
            continue;
        }
        found.most_placements =
            std::max(found.most_placements, one->placements);
        auto const took = one->ended.value_or(whole_run) - one->arrival;
        if (one->refused && took < this->plan.time_limit)
        {
            found.refused += 1;
            found.longest_refusal = std::max(found.longest_refusal, took);
        }
        else if (one->refused || took >= this->plan.time_limit)
        {
            found.unanswered += 1;
        }
        else
        {
            (took <= this->plan.latency_target ? found.on_time : found.late) +=
                1;
        }
    }
    return found;
}

time_point admission_simulation::now() const
{
    return start_time + this->events.now();
}

double admission_simulation::factor(std::size_t target) const
{
    return this->plan.slowdown(target, this->events.now());
}

std::optional<std::size_t>
admission_simulation::choose(request_state const & request)
{
    std::vector<target_candidate> candidates;
    for (std::size_t i = 0; i < this->targets.size(); ++i)
    {
        if (request.tried.contains(i))
        {
            continue;
        }
        auto const & target = this->known[request.node][i];
        target_candidate candidate;
        candidate.id = target_id(absl::StrCat(i));
        candidate.same_domain = true;
        candidate.load = target.load;
        candidate.load_age = this->events.now() - target.heard;
        candidate.sent_since = target.sent_since;
        candidates.push_back(std::move(candidate));
    }
    std::uniform_real_distribution<double> spread(0, 1);
    auto const best =
        this->selector.choose(candidates,
                              {this->plan.work, this->plan.latency_target},
                              [this, &spread]
                              {
                                  return spread(this->random);
                              });
    return best ? std::make_optional(index_of(candidates[*best].id))
                : std::nullopt;
}

void admission_simulation::place(request_pointer const & request)
{
    if (this->now() >= request->urgency.deadline)
    {
        this->end(*request, true);
        return;
    }
    auto chosen = this->choose(*request);
    if (!chosen)
    {
        for (auto const & slow : request->rounds.next(this->now()))
        {
            request->tried.erase(index_of(slow));
        }
        chosen = this->choose(*request);
    }
    if (!chosen)
    {
        this->end(*request, true);
        return;
    }
    request->tried.insert(*chosen);
    request->placements += 1;
    this->known[request->node][*chosen].sent_since += 1;
    this->events.after(this->plan.hop,
                       [this,
                        request,
                        target = *chosen,
                        slow_target = request->rounds.next_action(this->now())]
                       {
                           this->offer(request, target, slow_target);
                       });
}

void admission_simulation::offer(request_pointer const & request,
                                 std::size_t target,
                                 slow_target_action slow_target)
{
    auto & at = *this->targets[target];
    auto const verdict =
        at.gate.offer("route", request->urgency, slow_target, this->now());
    if (verdict.decision == target_admission_verdict::action::refuse)
    {
        this->refused(request, target, verdict.reason);
        return;
    }
    request->asked = slow_target;
    at.requests[verdict.ticket] = request;
    this->review(target);
}

void admission_simulation::refused(request_pointer const & request,
                                   std::size_t target,
                                   admission_refusal reason)
{
    this->events.after(this->plan.hop,
                       [this, request, target, reason]
                       {
                           this->hear(request->node, target);
                           if (reason == admission_refusal::slow)
                           {
                               request->rounds.record_decline(
                                   target_id(absl::StrCat(target)),
                                   request->asked);
                           }
                           this->place(request);
                       });
}

void admission_simulation::review(std::size_t target)
{
    auto & at = *this->targets[target];
    for (auto const & verdict : at.gate.take_ready(this->now()))
    {
        if (verdict.decision == target_admission_verdict::action::start)
        {
            this->start(verdict.ticket, target);
            continue;
        }
        auto const found = at.requests.extract(verdict.ticket);
        this->refused(found.mapped(), target, verdict.reason);
    }
    if (at.gate.try_start_probe(this->now()))
    {
        this->events.after(2 * this->plan.hop,
                           [this, target]
                           {
                               this->targets[target]->gate.set_slowdown(
                                   this->factor(target), this->now());
                               this->review(target);
                           });
    }
    if (auto const next = at.gate.next_review(this->now()))
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
    auto const took = std::chrono::duration_cast<duration>(
        this->plan.work * this->factor(target));
    this->events.after(
        took,
        [this, ticket, target]
        {
            auto & at = *this->targets[target];
            auto const found = at.requests.extract(ticket);
            at.gate.finish(ticket, false, this->now());
            at.gate.set_slowdown(this->factor(target), this->now());
            this->events.after(this->plan.hop,
                               [this, target, request = found.mapped()]
                               {
                                   this->hear(request->node, target);
                                   this->end(*request, false);
                               });
            this->review(target);
        });
}

void admission_simulation::hear(std::size_t node, std::size_t target)
{
    this->known[node][target] = {
        this->targets[target]->gate.load(), this->events.now(), 0};
}

void admission_simulation::end(request_state & request, bool is_refused)
{
    request.refused = is_refused;
    request.ended = this->events.now();
}

} // namespace endivehinge::tests

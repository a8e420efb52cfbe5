#include "simulation.hpp"

#include <algorithm> // stable_sort
#include <utility>   // move

namespace endivehinge::simulation
{
namespace
{

// between the node and its target, and in the node
constexpr std::chrono::microseconds node_overhead(50);
constexpr double usual_latency_weight = 0.02;
constexpr double hedge_after_factor = 4;

} // namespace

deployment_simulation::deployment_simulation(
    deployment where,
    fault_case what,
    policy_setup how,
    std::vector<arrival> const & incoming,
    duration how_long,
    std::uint64_t with_seed)
    : place(std::move(where))
    , faults(std::move(what))
    , setup(std::move(how))
    , arrivals(incoming)
    , length(how_long)
    , seed(with_seed)
    , requests(incoming.size())
{
    for (std::size_t index = 0; index < this->place.instances.size(); ++index)
    {
        this->nodes.push_back(std::make_unique<sim_node>(this->loop,
                                                         this->place.slots,
                                                         this->setup,
                                                         index,
                                                         this->seed,
                                                         [this](ticket_id done)
                                                         {
                                                             this->complete(
                                                                 done.value());
                                                         }));
        this->announce(index, announced_phase::ready, 1);
    }
}

run_summary deployment_simulation::run()
{
    this->plan_faults();
    for (std::size_t request = 0; request < this->arrivals.size(); ++request)
    {
        this->loop.at(this->arrivals[request].at,
                      [this, request]()
                      {
                          this->arrive(request);
                      });
    }
    this->loop.run();
    for (auto const & node : this->nodes)
    {
        this->summary.overwhelmed(node->target.overwhelmed_for());
    }
    return std::move(this->summary);
}

bool deployment_simulation::is_measured(std::size_t request) const
{
    return this->arrivals[request].at >= time_point(measured_from);
}

void deployment_simulation::arrive(std::size_t request)
{
    arrival const & here = this->arrivals[request];
    sim_node & node = *this->nodes[here.ingress];
    node.retries.record_request(attempt_origin::first);
    node.hedges.record_request(attempt_origin::first);
    if (this->is_measured(request))
    {
        this->summary.came_in();
    }
    if (!this->send(request))
    {
        this->end_refused(request);
        return;
    }
    this->loop.at(this->deadline_of(request),
                  [this, request]()
                  {
                      this->end_late(request);
                  });
    if (this->setup.hedge_share > 0 && here.repeatable)
    {
        auto const patience = duration(static_cast<duration::rep>(
            hedge_after_factor * node.usual_latency_ns));
        this->loop.after(patience,
                         [this, request]()
                         {
                             this->hedge(request);
                         });
    }
}

bool deployment_simulation::send(std::size_t request)
{
    arrival const & here = this->arrivals[request];
    sim_node & from = *this->nodes[here.ingress];
    auto const targets = this->targets_left(request);
    std::vector<placement_candidate> candidates;
    candidates.reserve(targets.size());
    for (auto const target : targets)
    {
        candidates.push_back(this->describe(here.ingress, target));
    }
    auto const chosen = this->setup.placement->choose(
        candidates, this->loop.now(), from.random);
    if (!chosen.has_value())
    {
        return false;
    }
    std::size_t const id = this->attempts.size();
    request_state & state = this->requests[request];
    if (!state.attempts.empty() && this->is_measured(request))
    {
        this->summary.tried_again();
    }
    this->attempts.push_back(
        {request, targets[*chosen], this->loop.now(), {}, false});
    state.attempts.push_back(id);
    ++state.open_attempts;
    from.signals.sent(this->nodes[targets[*chosen]]->name, this->loop.now());
    this->loop.after(this->travel(id) + node_overhead,
                     [this, id]()
                     {
                         this->reach(id);
                     });
    return true;
}

// those of the service that were not tried yet, nearest first
std::vector<std::size_t>
deployment_simulation::targets_left(std::size_t request) const
{
    arrival const & here = this->arrivals[request];
    std::vector<std::size_t> found;
    for (std::size_t index = 0; index < this->nodes.size(); ++index)
    {
        bool tried = false;
        for (auto const id : this->requests[request].attempts)
        {
            tried = tried || this->attempts[id].node == index;
        }
        if (!tried && this->nodes[index]->accepts_work &&
            this->place.instances[index].service == here.service)
        {
            found.push_back(index);
        }
    }
    std::stable_sort(found.begin(),
                     found.end(),
                     [this, &here](std::size_t a, std::size_t b)
                     {
                         return this->place.travel(here.ingress, a) <
                                this->place.travel(here.ingress, b);
                     });
    return found;
}

placement_candidate deployment_simulation::describe(std::size_t from,
                                                    std::size_t to) const
{
    placement_candidate made;
    made.node = this->nodes[to]->name;
    made.local = from == to;
    made.same_domain =
        this->place.instances[from].domain == this->place.instances[to].domain;
    this->nodes[from]->signals.describe(made);
    return made;
}

void deployment_simulation::hedge(std::size_t request)
{
    sim_node & node = *this->nodes[this->arrivals[request].ingress];
    if (!this->requests[request].over && node.hedges.try_spend())
    {
        this->send(request);
    }
}

void deployment_simulation::take_answer(std::size_t id,
                                        load_signal signal,
                                        duration at_node)
{
    attempt const & tried = this->attempts[id];
    arrival const & here = this->arrivals[tried.request];
    sim_node & from = *this->nodes[here.ingress];
    time_point const now = this->loop.now();
    attempt_report report;
    report.sent_at = tried.sent_at;
    report.time_at_node = at_node;
    signal.received = now;
    if (this->setup.signals_with_answers)
    {
        report.signal = signal;
    }
    from.signals.ended(this->nodes[tried.node]->name, report, now);
    auto const took = static_cast<double>((now - tried.sent_at).count());
    from.usual_latency_ns +=
        usual_latency_weight * (took - from.usual_latency_ns);
    request_state & state = this->requests[tried.request];
    if (state.over)
    {
        return;
    }
    state.over = true;
    if (this->is_measured(tried.request))
    {
        this->summary.answered(now - here.at + (2 * this->place.from_client),
                               here.urgency == priority::internal_check);
    }
    this->cancel_others(tried.request, id);
}

void deployment_simulation::take_refusal(std::size_t id, load_signal signal)
{
    attempt const & tried = this->attempts[id];
    std::size_t const request = tried.request;
    sim_node & from = *this->nodes[this->arrivals[request].ingress];
    attempt_report report;
    report.ended = attempt_report::result::refused;
    report.sent_at = tried.sent_at;
    signal.received = this->loop.now();
    if (this->setup.signals_with_answers)
    {
        report.signal = signal;
    }
    from.signals.ended(this->nodes[tried.node]->name, report, this->loop.now());
    request_state & state = this->requests[request];
    --state.open_attempts;
    if (state.over || state.open_attempts > 0)
    {
        return;
    }
    if (!from.retries.try_spend() || !this->send(request))
    {
        this->end_refused(request);
    }
}

void deployment_simulation::cancel_others(std::size_t request,
                                          std::size_t winner)
{
    for (auto const id : this->requests[request].attempts)
    {
        if (id == winner)
        {
            continue;
        }
        this->loop.after(this->travel(id),
                         [this, id]()
                         {
                             this->withdraw(id);
                         });
    }
}

void deployment_simulation::end_refused(std::size_t request)
{
    this->requests[request].over = true;
    if (this->is_measured(request))
    {
        this->summary.refused();
    }
}

void deployment_simulation::end_late(std::size_t request)
{
    if (this->requests[request].over)
    {
        return;
    }
    this->requests[request].over = true;
    if (this->is_measured(request))
    {
        this->summary.late(this->arrivals[request].time_limit);
    }
    this->cancel_others(request, this->attempts.size());
}

void deployment_simulation::reach(std::size_t id)
{
    attempt & tried = this->attempts[id];
    arrival const & here = this->arrivals[tried.request];
    tried.reached_at = this->loop.now();
    auto const decision = this->nodes[tried.node]->gate.offer(
        {ticket_id(id), here.urgency, this->deadline_of(tried.request)},
        this->loop.now());
    std::size_t const node = tried.node;
    if (decision.verdict == admission_verdict::admitted)
    {
        this->start(id);
    }
    if (decision.verdict == admission_verdict::refused)
    {
        this->refuse(id);
    }
    this->settle(node);
}

void deployment_simulation::settle(std::size_t node)
{
    for (auto const & ready :
         this->nodes[node]->gate.take_ready(this->loop.now()))
    {
        if (ready.decision.verdict == admission_verdict::admitted)
        {
            this->start(ready.id.value());
        }
        else
        {
            this->refuse(ready.id.value());
        }
    }
}

void deployment_simulation::start(std::size_t id)
{
    attempt const & tried = this->attempts[id];
    this->nodes[tried.node]->target.start(ticket_id(id),
                                          this->arrivals[tried.request].work);
}

void deployment_simulation::refuse(std::size_t id)
{
    attempt & tried = this->attempts[id];
    tried.over = true;
    load_signal const signal = this->told_by(*this->nodes[tried.node]);
    this->loop.after(this->travel(id) + node_overhead,
                     [this, id, signal]()
                     {
                         this->take_refusal(id, signal);
                     });
}

void deployment_simulation::complete(std::size_t id)
{
    attempt & tried = this->attempts[id];
    sim_node & node = *this->nodes[tried.node];
    tried.over = true;
    node.gate.finish(
        ticket_id(id), execution_result::succeeded, this->loop.now());
    this->settle(tried.node);
    load_signal const signal = this->told_by(node);
    duration const at_node = this->loop.now() - tried.reached_at;
    this->loop.after(this->travel(id) + node_overhead,
                     [this, id, signal, at_node]()
                     {
                         this->take_answer(id, signal, at_node);
                     });
}

void deployment_simulation::withdraw(std::size_t id)
{
    attempt & tried = this->attempts[id];
    if (tried.over)
    {
        return;
    }
    tried.over = true;
    sim_node & node = *this->nodes[tried.node];
    node.gate.cancel(ticket_id(id));
    node.target.cancel(ticket_id(id));
    sim_node & from = *this->nodes[this->arrivals[tried.request].ingress];
    attempt_report report;
    report.ended = attempt_report::result::abandoned;
    report.sent_at = tried.sent_at;
    from.signals.ended(node.name, report, this->loop.now());
    this->settle(tried.node);
}

load_signal deployment_simulation::told_by(sim_node const & node) const
{
    load_signal signal = node.gate.load(this->loop.now());
    if (this->faults.signals_lie &&
        &node == this->nodes[fault_case::struck_instance].get())
    {
        signal.in_flight = 0;
        signal.limit = this->place.slots;
        signal.latency = mean_work();
    }
    return signal;
}

duration deployment_simulation::travel(std::size_t id) const
{
    attempt const & tried = this->attempts[id];
    return this->place.travel(this->arrivals[tried.request].ingress,
                              tried.node);
}

time_point deployment_simulation::deadline_of(std::size_t request) const
{
    return this->arrivals[request].at + this->arrivals[request].time_limit -
           (2 * this->place.from_client);
}

} // namespace endivehinge::simulation

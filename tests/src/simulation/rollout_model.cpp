#include <simulation/rollout_model.hpp>

#include <algorithm> // count_if, find, shuffle
#include <array>     // array
#include <cmath>     // log

#include <endivehinge/policy/rollout_election.hpp>
#include <endivehinge/policy/rollout_trial_targets.hpp>

namespace endivehinge::tests
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration order_time = seconds(3);
constexpr duration cold_time = seconds(3);
constexpr double exposed_share = 0.1;
constexpr double exposed_slack = 50;
// no request later than this after the 50th bad response (rollbackS)
constexpr duration rollback_delay = seconds(5);
// a tenth of the requests are on the route "rare"
constexpr double rare_part = 0.1;
constexpr double mean_run_time_seconds = 0.04;

bool is_concluded(rollout_state state)
{
    return state == rollout_state::completed ||
           state == rollout_state::rolled_back;
}

} // namespace

rollout_model::rollout_model(rollout_plan const & played)
    : plan(played)
    , source(played.seed)
{
    for (std::size_t i = 0; i < plan.old_nodes + plan.new_nodes; ++i)
    {
        bool const is_old = i < plan.old_nodes;
        node n;
        n.name = node_name("n" + std::to_string(i));
        n.version =
            is_old ? software_version("v1") : this->plan.order.target_version;
        n.target_start =
            is_old ? duration(-seconds(60)) : order_time + this->plan.new_start;
        n.clock_offset = random_between(seconds(1), seconds(1000));
        n.gate.emplace(n.process);
        n.filter.emplace(milliseconds(2500));
        n.knows_store = true;
        this->nodes.push_back(std::move(n));
    }
}

double rollout_model::random()
{
    return std::uniform_real_distribution<double>(0, 1)(this->source);
}

duration rollout_model::random_between(duration least, duration most)
{
    return least +
           duration(static_cast<duration::rep>(
               this->random() * static_cast<double>((most - least).count())));
}

duration rollout_model::now() const
{
    return this->events.now();
}

time_point rollout_model::local_time(node const & n) const
{
    return time_point(this->now() + n.clock_offset);
}

bool rollout_model::is_new(node const & n) const
{
    return n.version == this->plan.order.target_version;
}

bool rollout_model::is_up(node const & n) const
{
    return n.alive && this->now() >= n.paused_until;
}

bool rollout_model::is_target_ready(node const & n) const
{
    return n.alive && this->now() >= n.target_start;
}

void rollout_model::refresh(node & n)
{
    std::vector<software_version> ready;
    for (auto const & other : this->nodes)
    {
        if (this->is_target_ready(other))
        {
            ready.push_back(other.version);
        }
    }
    n.filter->set_targets(ready, this->local_time(n));
    n.gate->set_version(n.version);
    n.gate->set_allowed(
        n.filter->allows(n.known, n.version, this->local_time(n)),
        std::count(ready.begin(), ready.end(), n.version) ==
            static_cast<std::ptrdiff_t>(ready.size()));
}

void rollout_model::learn(std::size_t i, rollout_entry const & copy)
{
    auto & n = this->nodes[i];
    if (!n.alive || (n.known && copy.version <= n.known->version))
    {
        return;
    }
    bool const is_other_coordinator = n.known && n.known->status != copy.status;
    if (!n.known || is_other_coordinator)
    {
        n.coordinator_seen = this->now();
    }
    this->refresh(n);
    if (n.gate->set_entry(copy))
    {
        n.order_seen = this->now();
        n.routes.clear();
    }
    n.known = copy;
    n.knows_store = true;
    this->refresh(n);
    if (n.coordinator && copy.status &&
        (copy.status->term != n.coordinator->status().term ||
         is_concluded(copy.status->state)))
    {
        n.coordinator.reset();
        n.writing.reset();
    }
}

void rollout_model::publish()
{
    auto const copy = *this->store;
    for (std::size_t i = 0; i < this->nodes.size(); ++i)
    {
        this->events.after(
            this->random_between(milliseconds(20),
                                 milliseconds(plan.with_faults ? 2000 : 300)),
            [this, i, copy]
            {
                this->learn(i, copy);
            });
    }
}

void rollout_model::act(std::size_t i)
{
    auto & n = this->nodes[i];
    this->events.after(rollout_poll_interval,
                       [this, i]
                       {
                           this->act(i);
                       });
    if (!this->is_up(n))
    {
        return;
    }
    this->refresh(n);
    if (!n.known || is_concluded(state_of(*n.known)))
    {
        return;
    }
    if (n.writing && this->now() - n.write_started > milliseconds(400))
    {
        this->write(i, *n.writing); // again, under the same revision
    }
    if (!n.coordinator)
    {
        std::vector<rollout_candidate> candidates;
        for (auto const & other : this->nodes)
        {
            candidates.push_back(
                {other.name,
                 this->is_up(other) && this->now() >= other.cut_until,
                 this->is_target_ready(other)});
        }
        if (!n.writing && this->is_target_ready(n) &&
            should_take_over(
                n.name, *n.known, candidates, this->now() - n.coordinator_seen))
        {
            n.base = n.known->version;
            this->write(i,
                        make_takeover_status(*n.known, n.name, n.gate->term()));
        }
        return;
    }
    std::vector<rollout_target> targets;
    for (auto const & other : this->nodes)
    {
        if (this->is_target_ready(other))
        {
            targets.push_back({other.name, other.version});
        }
    }
    auto const coordinator = n.coordinator;
    coordinator->set_targets(targets);
    coordinator->advance(this->local_time(n));
    if (auto const & wanted = coordinator->wanted_status();
        wanted && !n.writing)
    {
        this->write(i, *wanted);
    }
    for (std::size_t k = 0; k < this->nodes.size(); ++k)
    {
        if (this->is_target_ready(this->nodes[k]))
        {
            this->poll(i, k);
        }
    }
}

void rollout_model::write(std::size_t i, rollout_status const & status)
{
    auto & n = this->nodes[i];
    n.writing = status;
    n.write_started = this->now();
    if (this->now() < this->store_down_until)
    {
        return;
    }
    this->events.after(
        this->random_between(milliseconds(5),
                             milliseconds(plan.with_faults ? 900 : 60)),
        [this, i, status, base = n.base, process = n.process]
        {
            this->store_write(i, status, base, process);
        });
}

void rollout_model::store_write(std::size_t i,
                                rollout_status const & status,
                                object_version base,
                                incarnation process)
{
    bool const ok = this->store->version == base;
    if (ok)
    {
        auto const before = state_of(*this->store);
        this->check(!is_concluded(before), "a conclusion was replaced");
        this->store->status = status;
        this->store->version = object_version(++this->revision);
        if (is_concluded(status.state))
        {
            this->result.conclusions.push_back(status);
            this->result.concluded_at = this->now() - order_time;
        }
        this->publish();
    }
    if (this->plan.with_faults && this->random() < 0.2)
    {
        return; // the answer is lost
    }
    bool const is_own = this->store->status == status;
    this->events.after(this->random_between(milliseconds(5), milliseconds(60)),
                       [this, i, status, is_own, process]
                       {
                           if (this->nodes[i].process == process)
                           {
                               this->finish_write(i, status, is_own);
                           }
                       });
}

void rollout_model::finish_write(std::size_t i,
                                 rollout_status const & status,
                                 bool ok)
{
    auto & n = this->nodes[i];
    if (!n.alive || !n.writing || *n.writing != status)
    {
        return;
    }
    n.writing.reset();
    auto const copy = *this->store;
    if (!ok)
    {
        n.coordinator.reset();
        this->learn(i, copy);
        return;
    }
    n.base = copy.version;
    if (n.coordinator)
    {
        n.coordinator->confirm(this->local_time(n));
    }
    else
    {
        n.coordinator = std::make_shared<rollout_coordinator>(
            copy,
            rollout_exposure_limits{exposed_share, exposed_slack},
            this->now() - n.order_seen,
            this->local_time(n));
    }
    this->learn(i, copy);
}

void rollout_model::poll(std::size_t i, std::size_t k)
{
    auto const coordinator = this->nodes[i].coordinator;
    auto const message = coordinator->instruction_for(this->nodes[k].name);
    if (this->now() < this->nodes[i].cut_until ||
        this->now() < this->nodes[k].cut_until)
    {
        return;
    }
    bool const is_late = this->plan.with_faults && this->random() < 0.01;
    auto const delay = std::max(
        this->random_between(milliseconds(1),
                             is_late ? milliseconds(3000) : milliseconds(15)),
        this->nodes[k].paused_until - this->now());
    this->events.after(
        delay,
        [this, i, k, message, coordinator]
        {
            auto & receiver = this->nodes[k];
            if (!receiver.alive)
            {
                return;
            }
            if (receiver.gate->apply(message))
            {
                receiver.coordinator_seen = this->now();
            }
            if (!receiver.known ||
                (this->plan.with_faults && this->random() < 0.02))
            {
                return; // the response is lost
            }
            this->events.after(
                this->random_between(milliseconds(1), milliseconds(15)),
                [this, i, coordinator, counts = this->report(receiver)]
                {
                    auto const & sender = this->nodes[i];
                    if (sender.coordinator == coordinator &&
                        this->is_up(sender))
                    {
                        coordinator->record(counts, this->local_time(sender));
                    }
                });
        });
}

rollout_counts rollout_model::report(node & n)
{
    rollout_counts counts;
    counts.node = n.name;
    counts.version = n.version;
    counts.process = n.process;
    counts.reported_at = this->local_time(n).time_since_epoch();
    counts.order_age = this->now() - n.order_seen;
    counts.term = n.gate->term();
    counts.sequence = n.gate->sequence();
    counts.cold = this->now() < n.target_start + cold_time;
    counts.closed = !n.gate->accepts(counts.reported_at);
    counts.in_progress = n.in_progress;
    counts.routes = n.routes;
    return counts;
}

void rollout_model::request()
{
    double const gap = -std::log(1 - this->random()) / plan.requests_per_second;
    this->events.after(duration(static_cast<duration::rep>(gap * 1e9)),
                       [this]
                       {
                           this->request();
                       });
    auto const entry_node = static_cast<std::size_t>(
        this->random() * static_cast<double>(this->plan.old_nodes));
    auto & n = this->nodes[entry_node];
    if (!this->is_up(n) || !n.knows_store)
    {
        return;
    }
    this->result.arrivals += this->now() >= order_time ? 1 : 0;
    std::vector<node_name> ready_new;
    std::size_t ready_old = 0;
    for (auto const & other : this->nodes)
    {
        bool const ready = this->is_target_ready(other);
        ready_old += ready && !this->is_new(other) ? 1 : 0;
        if (ready && this->is_new(other))
        {
            ready_new.push_back(other.name);
        }
    }
    bool const is_trial = n.known && n.known->status &&
                          n.known->status->state == rollout_state::running &&
                          n.known->status->stage == rollout_stage::trial;
    if (is_trial)
    {
        ready_new = choose_rollout_trial_targets(
            this->plan.order.target_version, ready_new, ready_old);
    }
    std::string const route = this->random() < rare_part ? "rare" : "usual";
    auto const choice =
        n.filter->choose(n.known, this->random(), this->local_time(n));
    for (auto const & versions : {choice.first, choice.fallback})
    {
        std::vector<std::size_t> order;
        for (std::size_t i = 0; i < this->nodes.size(); ++i)
        {
            auto const & other = this->nodes[i];
            bool const is_tried =
                !this->is_new(other) ||
                std::count(ready_new.begin(), ready_new.end(), other.name) > 0;
            if (this->is_target_ready(other) && this->is_up(other) &&
                is_tried &&
                std::count(versions.begin(), versions.end(), other.version) > 0)
            {
                order.push_back(i);
            }
        }
        std::shuffle(order.begin(), order.end(), this->source);
        for (auto const i : order)
        {
            if (this->offer(this->nodes[i], route))
            {
                this->run(i, route);
                return;
            }
        }
    }
    ++this->result.refused;
}

bool rollout_model::offer(node & n, std::string const & route)
{
    if (!n.gate->accepts(this->local_time(n).time_since_epoch()))
    {
        return false;
    }
    n.gate->record_accepted();
    ++n.routes[route].arrivals;
    ++n.in_progress;
    n.recent.push_back(this->now());
    while (n.recent.front() < this->now() - milliseconds(500))
    {
        n.recent.pop_front();
    }
    bool const by_new = this->is_new(n);
    auto const state =
        this->store ? state_of(*this->store) : rollout_state::none;
    if (by_new)
    {
        ++this->result.by_new;
        this->check(n.known.has_value(), "accepted without the order");
        this->check(state != rollout_state::rolled_back,
                    "new target after rolled_back");
        this->check(!this->fiftieth_failure ||
                        this->now() <= *this->fiftieth_failure + rollback_delay,
                    "new target long after its 50th bad response");
    }
    else
    {
        this->check(state != rollout_state::completed,
                    "old target after completed");
    }
    if (!this->store || !this->store->status ||
        this->store->status->stage == rollout_stage::trial)
    {
        this->check(static_cast<double>(this->result.by_new) <=
                        exposed_share *
                                static_cast<double>(this->result.arrivals) +
                            exposed_slack,
                    "exposure in the trial");
    }
    return true;
}

void rollout_model::run(std::size_t i, std::string const & route)
{
    auto & n = this->nodes[i];
    double seconds_run = mean_run_time_seconds * (0.5 + this->random());
    double failure_share = 0;
    auto const add = [&](rollout_fault const & fault)
    {
        if (this->applies(fault, n, route))
        {
            failure_share = std::max(failure_share, fault.failure_share);
            seconds_run *= fault.run_time_factor;
        }
    };
    bool const is_cold = this->now() < n.target_start + cold_time;
    seconds_run *= is_cold ? 4 : 1;
    if (this->is_new(n))
    {
        add(this->plan.new_version);
        if (i == this->plan.old_nodes)
        {
            add(this->plan.first_new_target);
        }
    }
    else if (this->random() < 0.002)
    {
        seconds_run +=
            std::chrono::duration<double>(this->plan.longest_request).count();
    }
    auto const since_order = this->now() - order_time;
    if (since_order >= this->plan.shared_begin &&
        since_order < this->plan.shared_end)
    {
        add(this->plan.all_targets);
    }
    bool const fails = this->random() < failure_share;
    this->events.after(
        duration(static_cast<duration::rep>(seconds_run * 1e9)),
        [this, i, route, fails, seconds_run, process = n.process]
        {
            auto & runner = this->nodes[i];
            if (runner.process != process || !runner.alive)
            {
                return;
            }
            --runner.in_progress;
            auto & counts = runner.routes[route];
            counts.add_response(fails);
            if (fails)
            {
                runner.gate->record_failure();
                this->result.bad_by_new += this->is_new(runner) ? 1 : 0;
                if (this->result.bad_by_new == 50 &&
                    this->plan.new_version.failure_share > 0 &&
                    !this->fiftieth_failure)
                {
                    this->fiftieth_failure = this->now();
                }
            }
            else if (this->now() >= runner.target_start + cold_time)
            {
                counts.add_run_time(
                    duration(static_cast<duration::rep>(seconds_run * 1e9)), 1);
            }
        });
}

bool rollout_model::applies(rollout_fault const & fault,
                            node const & n,
                            std::string const & route) const
{
    double const old_load = 0.5 * this->plan.requests_per_second /
                            static_cast<double>(this->plan.old_nodes);
    return this->now() >= n.target_start + fault.begins_after &&
           (fault.route.empty() || fault.route == route) &&
           (!fault.under_load_only ||
            static_cast<double>(n.recent.size()) >= 0.5 * old_load);
}

void rollout_model::break_something()
{
    this->events.after(
        this->random_between(milliseconds(300), milliseconds(2500)),
        [this]
        {
            this->break_something();
        });
    auto const i = static_cast<std::size_t>(
        this->random() * static_cast<double>(this->nodes.size()));
    auto & n = this->nodes[i];
    double const kind = this->random();
    if (kind < 0.3)
    {
        n.cut_until =
            this->now() + this->random_between(milliseconds(200), seconds(5));
    }
    else if (kind < 0.6)
    {
        n.paused_until =
            this->now() + this->random_between(milliseconds(200), seconds(4));
    }
    else if (kind < 0.75)
    {
        this->store_down_until =
            this->now() +
            this->random_between(milliseconds(200), milliseconds(1500));
    }
    else
    {
        this->kill(i,
                   this->random_between(milliseconds(200), milliseconds(2500)));
    }
}

void rollout_model::kill_coordinator()
{
    for (std::size_t i = 0; i < this->nodes.size(); ++i)
    {
        if (this->nodes[i].coordinator)
        {
            this->kill(i, seconds(3));
        }
    }
}

void rollout_model::kill(std::size_t i, duration outage)
{
    auto & n = this->nodes[i];
    if (!n.alive)
    {
        return;
    }
    n.alive = false;
    n.coordinator.reset();
    n.writing.reset();
    n.known.reset();
    n.knows_store = false;
    n.routes.clear();
    n.in_progress = 0;
    n.process = incarnation(n.process.value() + 1);
    n.gate.emplace(n.process);
    n.filter.emplace(milliseconds(2500));
    this->events.after(outage,
                       [this, i]
                       {
                           this->nodes[i].alive = true;
                           this->nodes[i].paused_until = duration::zero();
                           if (this->store)
                           {
                               this->learn(i, *this->store);
                           }
                           this->nodes[i].knows_store = true;
                       });
}

void rollout_model::check(bool holds, std::string const & what)
{
    if (!holds)
    {
        this->result.violations.push_back(
            what + " at " +
            std::to_string(to_milliseconds(this->now() - order_time)) + " ms");
    }
}

rollout_result rollout_model::play()
{
    for (std::size_t i = 0; i < this->nodes.size(); ++i)
    {
        this->refresh(this->nodes[i]);
        this->events.after(
            this->random_between(milliseconds(0), milliseconds(200)),
            [this, i]
            {
                this->act(i);
            });
    }
    this->request();
    if (this->plan.with_faults)
    {
        this->break_something();
    }
    if (this->plan.coordinator_ends)
    {
        this->events.after(order_time + *this->plan.coordinator_ends,
                           [this]
                           {
                               this->kill_coordinator();
                           });
    }
    this->events.after(order_time,
                       [this]
                       {
                           this->store =
                               rollout_entry{this->plan.order,
                                             std::nullopt,
                                             object_version(this->revision)};
                           this->publish();
                       });
    duration const end = order_time + this->plan.order.length + seconds(10);
    while (this->events.step(end))
    {
    }
    this->check(this->result.conclusions.size() <= 1, "two conclusions");
    return this->result;
}

} // namespace endivehinge::tests

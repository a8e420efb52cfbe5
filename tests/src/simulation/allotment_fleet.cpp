#include "allotment_fleet.hpp"

#include <algorithm> // count, max, remove_if
#include <utility>   // exchange

namespace endivehinge::tests
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration step_length = milliseconds(1);
constexpr duration ask_timeout = milliseconds(80);
constexpr duration vote_timeout = milliseconds(200);
// half of the time limit of a request
constexpr duration request_patience = milliseconds(1000);
constexpr duration window = seconds(5);
constexpr double slack = 20;
constexpr double overage = 1.1;
constexpr std::size_t domain_count = 4;

} // namespace

allotment_fleet::allotment_fleet(std::size_t count,
                                 unsigned seed,
                                 bool is_first_start)
    : generator(seed)
    , now(seconds(1000))
    , nodes(count)
    , first_start(is_first_start)
{
    for (std::size_t i = 0; i < count; ++i)
    {
        this->start(i);
    }
    this->first_start = false;
}

node_name allotment_fleet::name_of(std::size_t node)
{
    return node_name("n" + std::to_string(node));
}

void allotment_fleet::add_account(std::string const & name,
                                  allotment_limits limits)
{
    this->accounts[name].limits = limits;
}

void allotment_fleet::set_limits(std::string const & name,
                                 allotment_limits limits)
{
    auto & account = this->accounts.at(name);
    // tokens of the higher limit are used up within one second
    account.bound_from =
        limits.rate < account.limits.rate ? this->now + seconds(1) : this->now;
    account.limits = limits;
}

duration allotment_fleet::delay()
{
    return std::chrono::duration_cast<duration>(
        milliseconds(1) + milliseconds(3) * this->random());
}

double allotment_fleet::random()
{
    return std::uniform_real_distribution<double>(0, 1)(this->generator);
}

void allotment_fleet::at(time_point when, std::function<void()> run)
{
    this->queue.push({when, ++this->last_order, std::move(run)});
}

void allotment_fleet::deliver(std::size_t node,
                              std::uint64_t process,
                              std::function<void()> run)
{
    auto & data = this->nodes[node];
    if (!data.agent || data.process != process)
    {
        return;
    }
    if (data.paused)
    {
        data.held_back.push_back(std::move(run));
        return;
    }
    run();
}

// ---------------------------------------------------------------------------
// faults
// ---------------------------------------------------------------------------

void allotment_fleet::kill(std::size_t node)
{
    this->nodes[node].agent.reset();
    this->nodes[node].held_back.clear();
    this->nodes[node].waiting.clear();
    this->nodes[node].paused = false;
}

void allotment_fleet::start(std::size_t node)
{
    auto & data = this->nodes[node];
    data.process = ++this->last_process;
    data.next_poll = time_point();
    if (std::exchange(data.departed, false))
    {
        data.target = target_id(std::to_string(data.process));
        this->update_views();
    }
    data.agent = std::make_unique<allotment_agent>(
        allotment_process{name_of(node), data.process},
        allotment_options{slack, this->first_start},
        [this](account_name const & account)
        {
            auto const found = this->accounts.find(account.value());
            return found == this->accounts.end()
                       ? std::nullopt
                       : std::optional(found->second.limits);
        },
        this->now);
    this->update_views();
}

void allotment_fleet::set_paused(std::size_t node, bool paused)
{
    auto & data = this->nodes[node];
    data.paused = paused && data.agent;
    while (!data.paused && !data.held_back.empty())
    {
        auto const run = std::move(data.held_back.front());
        data.held_back.pop_front();
        run();
    }
}

void allotment_fleet::set_cut(std::size_t from, std::size_t to, bool cut)
{
    if (cut)
    {
        this->cuts.insert({from, to});
    }
    else
    {
        this->cuts.erase({from, to});
    }
}

void allotment_fleet::refuse_connections(std::size_t from, std::size_t to)
{
    this->refusing_cuts.insert({from, to});
}

void allotment_fleet::refuse_connections_of(
    std::vector<std::size_t> const & apart)
{
    for (std::size_t i = 0; i < this->nodes.size(); ++i)
    {
        if (std::count(apart.begin(), apart.end(), i) > 0)
        {
            continue;
        }
        for (auto const node : apart)
        {
            this->refuse_connections(node, i);
            this->refuse_connections(i, node);
        }
    }
}

void allotment_fleet::end_cuts()
{
    this->cuts.clear();
    this->refusing_cuts.clear();
}

void allotment_fleet::heal()
{
    this->end_cuts();
    for (std::size_t i = 0; i < this->nodes.size(); ++i)
    {
        this->set_paused(i, false);
        if (!this->nodes[i].agent)
        {
            this->start(i);
        }
        this->nodes[i].isolated = false;
        this->set_present(i, true);
    }
}

void allotment_fleet::isolate(std::size_t node)
{
    for (std::size_t i = 0; i < this->nodes.size(); ++i)
    {
        this->set_cut(node, i, i != node);
        this->set_cut(i, node, i != node);
    }
    this->nodes[node].isolated = true;
}

void allotment_fleet::set_present(std::size_t node, bool present)
{
    if (this->nodes[node].present != present)
    {
        this->nodes[node].present = present;
        this->update_views();
    }
}

void allotment_fleet::remove_lapsed()
{
    for (std::size_t i = 0; i < this->nodes.size(); ++i)
    {
        this->set_present(i, this->is_running(i) && !this->nodes[i].isolated);
    }
}

allotment_directory::node_list allotment_fleet::present_nodes() const
{
    allotment_directory::node_list present;
    for (std::size_t i = 0; i < this->nodes.size(); ++i)
    {
        if (this->nodes[i].present)
        {
            present.push_back(
                {name_of(i),
                 endpoint{"host", 1},
                 this->nodes[i].target,
                 failure_domain("d" + std::to_string(i % domain_count))});
        }
    }
    return present;
}

allotment_directory::node_list
allotment_fleet::nodes_seen_by(std::size_t node) const
{
    auto seen = this->present_nodes();
    if (this->nodes[node].departed)
    {
        seen.erase(std::remove_if(seen.begin(),
                                  seen.end(),
                                  [node](auto const & member)
                                  {
                                      return member.node == name_of(node);
                                  }),
                   seen.end());
    }
    return seen;
}

void allotment_fleet::depart(std::size_t node)
{
    auto & data = this->nodes[node];
    data.departed = true;
    data.agent->set_nodes(this->nodes_seen_by(node));
    data.agent->set_own_departure(data.target);
}

void allotment_fleet::vanish(std::size_t node)
{
    this->kill(node);
    for (std::size_t i = 0; i < this->nodes.size(); ++i)
    {
        this->set_cut(i, node, true);
    }
}

void allotment_fleet::update_views()
{
    for (std::size_t i = 0; i < this->nodes.size(); ++i)
    {
        auto & data = this->nodes[i];
        // views change at different times, except that a process begins with
        // one
        auto const when =
            data.next_poll == time_point()
                ? this->now
                : this->now + std::chrono::duration_cast<duration>(
                                  milliseconds(200) * this->random());
        auto const update = [this, i]
        {
            if (!this->nodes[i].isolated)
            {
                this->nodes[i].agent->set_nodes(this->nodes_seen_by(i));
            }
        };
        this->at(when,
                 [this, i, update, process = data.process]
                 {
                     this->deliver(i, process, update);
                 });
    }
}

// ---------------------------------------------------------------------------
// requests and messages
// ---------------------------------------------------------------------------

void allotment_fleet::request(std::size_t node, std::string const & account)
{
    auto & data = this->nodes[node];
    if (!data.agent || data.paused)
    {
        return;
    }
    this->accounts.at(account).requests += 1;
    auto const number = ++this->last_request;
    auto const verdict = data.agent->begin(account_name(account),
                                           this->accounts.at(account).limits,
                                           number,
                                           request_patience,
                                           this->now,
                                           this->random());
    if (verdict)
    {
        this->count(account, *verdict);
        return;
    }
    data.waiting[number] = account;
    this->poll(node);
}

void allotment_fleet::count(std::string const & account,
                            allotment_verdict const & verdict)
{
    auto & data = this->accounts.at(account);
    if (verdict.outcome == allotment_outcome::no_contact)
    {
        data.unserved_since = data.unserved_since.value_or(this->now);
        data.longest_unserved =
            std::max(data.longest_unserved, this->now - *data.unserved_since);
    }
    else
    {
        data.unserved_since.reset();
    }
    if (verdict.outcome != allotment_outcome::granted)
    {
        (verdict.outcome == allotment_outcome::exhausted ? data.exhausted
                                                         : data.no_contact) +=
            1;
        return;
    }
    data.granted += 1;
    if (this->now <= data.bound_from)
    {
        data.grants.clear();
        return;
    }
    data.grants.push_back(this->now);
    auto const begin = std::max(this->now - window, data.bound_from);
    while (data.grants.front() <= begin)
    {
        data.grants.pop_front();
    }
    data.most_in_window = std::max(data.most_in_window, data.grants.size());
    double const bound =
        (data.limits.rate * 5 + data.limits.burst) * overage + slack;
    data.violations += static_cast<double>(data.grants.size()) > bound ? 1 : 0;
}

void allotment_fleet::poll(std::size_t node)
{
    auto & data = this->nodes[node];
    data.next_poll = this->now + allotment_agent::poll_interval();
    auto todo = data.agent->poll(this->now, this->random());
    for (auto const & decision : todo.decisions)
    {
        data.waiting.erase(decision.request);
        this->count(decision.account.value(), decision.verdict);
    }
    for (auto & message : todo.messages)
    {
        this->send(node, message);
    }
}

void allotment_fleet::send(std::size_t from,
                           allotment_agent::outgoing const & message)
{
    this->messages += 1;
    auto const to = std::stoul(message.to.value().substr(1));
    auto const sent_at = this->now;
    auto const process = this->nodes[from].process;
    auto const done = std::make_shared<bool>(false);
    auto const finish =
        [this, from, process, done](std::function<void()> const & run)
    {
        this->deliver(from,
                      process,
                      [this, from, done, run]
                      {
                          if (!std::exchange(*done, true))
                          {
                              run();
                              this->poll(from);
                          }
                      });
    };
    auto const fail = [this, from, message, sent_at](bool refused)
    {
        this->nodes[from].agent->record_failure(
            message, refused, sent_at, this->now);
    };
    auto const timeout =
        message.message.vote_requests.empty() ? ask_timeout : vote_timeout;
    this->at(this->now + timeout,
             [finish, fail]
             {
                 finish(
                     [fail]
                     {
                         fail(false);
                     });
             });
    if (this->cuts.count({from, to}) > 0)
    {
        return;
    }
    if (this->refusing_cuts.count({from, to}) > 0)
    {
        this->at(this->now + this->delay(),
                 [finish, fail]
                 {
                     finish(
                         [fail]
                         {
                             fail(true);
                         });
                 });
        return;
    }
    this->at(
        this->now + this->delay(),
        [this, from, to, message, sent_at, finish, fail]
        {
            if (!this->nodes[to].agent)
            {
                if (this->cuts.count({to, from}) == 0)
                {
                    finish(
                        [fail]
                        {
                            fail(true);
                        });
                }
                return;
            }
            this->deliver(
                to,
                this->nodes[to].process,
                [this, from, to, message, sent_at, finish]
                {
                    auto const response = this->nodes[to].agent->answer(
                        message.message, this->now);
                    this->poll(to);
                    if (this->cuts.count({to, from}) > 0)
                    {
                        return;
                    }
                    this->at(
                        this->now + this->delay(),
                        [this, from, message, sent_at, finish, response]
                        {
                            finish(
                                [this, from, message, sent_at, response]
                                {
                                    this->nodes[from].agent->record_response(
                                        message, response, sent_at, this->now);
                                });
                        });
                });
        });
}

// ---------------------------------------------------------------------------
// time
// ---------------------------------------------------------------------------

void allotment_fleet::step()
{
    this->now += step_length;
    while (!this->queue.empty() && this->queue.top().at <= this->now)
    {
        auto const action = this->queue.top();
        this->queue.pop();
        action.run();
    }
    for (std::size_t i = 0; i < this->nodes.size(); ++i)
    {
        auto & data = this->nodes[i];
        if (data.agent && !data.paused && data.next_poll <= this->now &&
            data.agent->is_active(this->now))
        {
            this->poll(i);
        }
    }
}

void allotment_fleet::run_for(duration length)
{
    auto const end = this->now + length;
    while (this->now < end)
    {
        this->step();
    }
}

void allotment_fleet::run_load(std::string const & account,
                               double per_second,
                               std::vector<std::size_t> const & entries,
                               duration length)
{
    auto const end = this->now + length;
    double due = 0;
    std::size_t next = 0;
    while (this->now < end)
    {
        this->step();
        due += per_second * std::chrono::duration<double>(step_length).count();
        for (; due >= 1; due -= 1)
        {
            this->request(entries[next++ % entries.size()], account);
        }
    }
}

std::size_t allotment_fleet::owner(std::string const & account) const
{
    allotment_directory directory(node_name("observer"));
    directory.set_nodes(this->present_nodes());
    return std::stoul(
        directory.owner(account_name(account))->value().substr(1));
}

bool allotment_fleet::is_running(std::size_t node) const
{
    return this->nodes[node].agent && !this->nodes[node].paused;
}

std::uint64_t allotment_fleet::message_count() const
{
    return this->messages;
}

} // namespace endivehinge::tests

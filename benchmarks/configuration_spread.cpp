// how long a change takes to every node, under a virtual clock: the state of
// each node is the real one, the exchanges follow configuration_timing

#include <algorithm> // sort
#include <cstdint>   // uint64_t
#include <iostream>  // cout
#include <queue>     // priority_queue
#include <random>    // mt19937_64
#include <vector>    // vector

#include <endivehinge/coordination/configuration_state.hpp>
#include <endivehinge/coordination/configuration_timing.hpp>
#include <endivehinge/coordination/watcher_election.hpp>

namespace
{

using namespace endivehinge; // NOLINT

constexpr std::size_t failure_domains = 19;
constexpr std::size_t change_bytes = 2048;
constexpr std::size_t no_byte_bound = std::size_t{1} << 30U;
// one way, with the work at both ends
constexpr duration shortest_exchange = std::chrono::milliseconds(2);
constexpr duration longest_exchange = std::chrono::milliseconds(80);
// how often membership sends a datagram to a random peer
constexpr duration probe_interval = std::chrono::seconds(1);
constexpr configuration_timing timing;

enum class event_kind
{
    change_heard,
    push_sent,
    probe_due,
    anti_entropy_due,
};

struct event
{
    duration when;
    event_kind kind;
    std::size_t node;
    // of a push: how many more follow
    std::size_t left;

    friend bool operator<(event const & a, event const & b)
    {
        return a.when > b.when;
    }
};

// which ways of spreading are on
struct ways
{
    char const * name;
    bool pushes;
    bool probes;
};

class spread
{
public:
    spread(std::size_t nodes, double failing, ways used, std::uint64_t seed)
        : random(seed)
        , on(used)
        , states(nodes)
        , failed(nodes, false)
        , heard(nodes, duration(-1))
        , calls(nodes, 0)
    {
        change_set const start{object_version(0), object_version(1), {}};
        for (std::size_t i = 0; i < nodes; ++i)
        {
            static_cast<void>(this->states[i].merge(start));
            this->failed[i] = this->draw(1.0) < failing;
            this->schedule(
                this->draw_up_to(probe_interval), event_kind::probe_due, i);
            this->schedule(this->draw_up_to(timing.anti_entropy_interval),
                           event_kind::anti_entropy_due,
                           i);
        }
        this->start_watchers(nodes);
    }

    void run()
    {
        while (this->missing > 0 && !this->events.empty())
        {
            event const next = this->events.top();
            this->events.pop();
            this->now = next.when;
            if (!this->failed[next.node])
            {
                this->handle(next);
            }
        }
    }

    void print(std::size_t nodes, double failing) const
    {
        std::vector<double> times;
        std::uint64_t sum = 0;
        auto const count = static_cast<double>(nodes);
        for (std::size_t i = 0; i < nodes; ++i)
        {
            sum += this->calls[i];
            if (!this->failed[i])
            {
                times.push_back(
                    std::chrono::duration<double>(this->heard[i]).count());
            }
        }
        std::sort(times.begin(), times.end());
        std::cout << "configuration_spread members=" << nodes
                  << " failing=" << failing << " ways=" << this->on.name
                  << " spread_p50_s=" << times[times.size() / 2]
                  << " spread_max_s=" << times.back()
                  << " calls_per_node=" << static_cast<double>(sum) / count
                  << " bytes_per_node="
                  << static_cast<double>(this->bytes) / count << '\n';
    }

private:
    double draw(double below)
    {
        return std::uniform_real_distribution<double>(0, below)(this->random);
    }

    duration draw_up_to(duration bound)
    {
        return duration(static_cast<std::int64_t>(
            this->draw(static_cast<double>(bound.count()))));
    }

    duration exchange_time()
    {
        return shortest_exchange +
               this->draw_up_to(longest_exchange - shortest_exchange);
    }

    std::size_t any_node()
    {
        return this->random() % this->states.size();
    }

    void schedule(duration after,
                  event_kind kind,
                  std::size_t node,
                  std::size_t left = 0)
    {
        this->events.push({this->now + after, kind, node, left});
    }

    void start_watchers(std::size_t nodes)
    {
        std::vector<member> members(nodes);
        for (std::size_t i = 0; i < nodes; ++i)
        {
            members[i].name = node_name("node-" + std::to_string(i));
            members[i].domain =
                failure_domain(std::to_string(i % failure_domains));
            this->missing += this->failed[i] ? 0 : 1;
        }
        for (std::size_t i = 0; i < nodes; ++i)
        {
            if (is_watcher(members[i].name,
                           members[i].domain,
                           members,
                           watchers_per_failure_domain))
            {
                this->schedule(
                    this->exchange_time(), event_kind::change_heard, i);
            }
        }
    }

    void handle(event const & next)
    {
        switch (next.kind)
        {
        case event_kind::change_heard:
            this->take_in(next.node,
                          {object_version(1),
                           object_version(2),
                           {{"configuration",
                             "service.a",
                             object_version(2),
                             std::string(change_bytes, 'x'),
                             false}}});
            break;
        case event_kind::push_sent:
            this->push(next.node, next.left);
            break;
        case event_kind::probe_due:
            this->probe(next.node);
            break;
        case event_kind::anti_entropy_due:
            this->pull(next.node, this->any_node());
            this->schedule(timing.anti_entropy_interval / 2 +
                               this->draw_up_to(timing.anti_entropy_interval),
                           event_kind::anti_entropy_due,
                           next.node);
            break;
        }
    }

    void take_in(std::size_t node, change_set const & changes)
    {
        if (this->states[node].merge(changes) != merge_result::advanced)
        {
            return;
        }
        this->heard[node] = this->now;
        --this->missing;
        if (this->on.pushes)
        {
            this->schedule(
                duration(0), event_kind::push_sent, node, timing.push_fanout);
        }
    }

    // one push after the other, as the node's thread does
    void push(std::size_t node, std::size_t left)
    {
        if (left == 0)
        {
            return;
        }
        std::size_t const peer = this->any_node();
        ++this->calls[node];
        duration took = timing.peer_timeout;
        if (!this->failed[peer])
        {
            took = this->exchange_time();
            this->bytes += change_bytes;
            this->schedule(took, event_kind::change_heard, peer);
        }
        this->schedule(took, event_kind::push_sent, node, left - 1);
    }

    // a datagram and its answer carry both versions
    void probe(std::size_t node)
    {
        std::size_t const peer = this->any_node();
        if (this->on.probes && !this->failed[peer])
        {
            bool const behind =
                this->states[node].version() < this->states[peer].version();
            this->pull(behind ? node : peer, behind ? peer : node);
        }
        this->schedule(probe_interval, event_kind::probe_due, node);
    }

    void pull(std::size_t node, std::size_t peer)
    {
        if (this->failed[peer] || this->failed[node])
        {
            return;
        }
        auto const changes = this->states[peer].changes_after(
            this->states[node].version(), no_byte_bound);
        if (changes.objects.empty())
        {
            return;
        }
        ++this->calls[node];
        this->bytes += change_bytes;
        this->schedule(this->exchange_time() + this->exchange_time(),
                       event_kind::change_heard,
                       node);
    }

    std::mt19937_64 random;
    ways on;
    duration now{0};
    std::priority_queue<event> events;
    std::vector<configuration_state> states;
    std::vector<bool> failed;
    std::vector<duration> heard;
    std::vector<std::uint64_t> calls;
    std::uint64_t bytes = 0;
    std::size_t missing = 0;
};

} // namespace

int main()
{
    constexpr ways tried[] = {{"anti_entropy", false, false},
                              {"anti_entropy+probes", false, true},
                              {"anti_entropy+probes+pushes", true, true}};
    constexpr std::uint64_t seed = 1;
    for (std::size_t const nodes : {50U, 500U, 2000U, 5500U})
    {
        for (double const failing : {0.0, 0.1})
        {
            for (ways const & used : tried)
            {
                spread one(nodes, failing, used, seed);
                one.run();
                one.print(nodes, failing);
            }
        }
    }
    return 0;
}

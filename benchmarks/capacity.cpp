// what membership costs a node, and how fast a configuration version spreads,
// by the number of members; real state machines under a virtual clock

#include <algorithm> // sort
#include <cstdio>    // printf
#include <cstdlib>   // strtoul
#include <ctime>     // clock_gettime
#include <memory>    // make_shared, make_unique
#include <random>    // mt19937_64
#include <string>    // to_string
#include <utility>   // exchange
#include <vector>    // vector

#include <absl/time/clock.h> // SleepFor
#include <absl/time/time.h>  // FromChrono
#include <malloc.h>          // mallinfo2

#include <common/gossip_network.hpp>
#include <endivehinge/detail/log/log.hpp>
#include <endivehinge/detail/membership/contact_list.hpp>

namespace endivehinge
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;
using tools::gossip_network;
using tools::gossip_network_options;

// sockets and threads in one process
constexpr std::size_t real_members = 20;
constexpr std::size_t full_domains = 19;
constexpr std::size_t full_regions = 8;
constexpr std::size_t full_services = 260;
constexpr seconds settle_span(15);
constexpr seconds calm_span(30);
constexpr seconds spread_limit(30);
constexpr int calm_spreads = 3;
constexpr std::size_t failing_divisor = 10;
// a cross-region exchange with the peer that holds the version
constexpr milliseconds pull_span(100);
constexpr std::uint64_t seed = 1;

enum class spread_way
{
    gossip,
    tree,
};

struct node_cost
{
    double cpu_us_per_s = 0;
    double bytes_per_s = 0;
    double datagrams_per_s = 0;
};

struct spread_result
{
    std::vector<double> seconds_to_adopt;
    std::size_t never = 0;
    node_cost cost;
};

double cpu_seconds()
{
    timespec spent{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &spent);
    constexpr double nanoseconds = 1e9;
    return static_cast<double>(spent.tv_sec) +
           static_cast<double>(spent.tv_nsec) / nanoseconds;
}

double heap_bytes()
{
    struct mallinfo2 const info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

gossip_network_options make_options(std::size_t members, spread_way way)
{
    gossip_network_options options;
    options.members = members;
    options.domains = full_domains;
    options.regions = full_regions;
    options.services = full_services;
    options.seed = seed;
    options.loss = 0.001;
    options.deliver_decoded = false;
    options.adoption_delay = pull_span;
    if (way == spread_way::tree)
    {
        options.timing.announcement_fanout = 0;
    }
    return options;
}

// what one node keeps: the table, and the snapshot that readers share
double node_heap_kb(std::size_t members)
{
    auto options = make_options(2, spread_way::gossip);
    gossip_network network(options);
    network.start(0);
    network.start(1);
    member about = network.at(1).self();
    std::string const name = about.name.value();
    std::mt19937_64 random(seed);
    double const before = heap_bytes();
    for (std::size_t i = 0; i < members; ++i)
    {
        // decoded records share nothing with each other
        about.name = node_name(name + "-" + std::to_string(i));
        gossip_message message;
        message.kind = gossip_kind::sync_response;
        message.sender = {std::make_shared<member const>(about),
                          member_state::alive};
        network.at(0).receive(
            message, about.control_address, network.now(), random);
        static_cast<void>(network.at(0).take_events());
    }
    auto const snapshot = network.at(0).members();
    constexpr double bytes_per_kb = 1024;
    return (heap_bytes() - before) / bytes_per_kb;
}

// the members as a ring; each sends to as many children as its capacity says,
// and each child takes on an equal part of the rest of the ring
class capacity_tree
{
public:
    explicit capacity_tree(gossip_network & carrier)
        : network(carrier)
        , parts(carrier.size())
    {
    }

    void start_at(std::size_t origin)
    {
        this->parts[origin] = {origin + 1, origin + this->network.size()};
    }

    void forward(std::size_t node)
    {
        part const own = std::exchange(this->parts[node], part());
        std::size_t const capacity = 2U << (node % 3U);
        std::size_t const length = own.end - own.begin;
        for (std::size_t child = 0; child < capacity; ++child)
        {
            std::size_t const begin = own.begin + length * child / capacity;
            std::size_t const end = own.begin + length * (child + 1) / capacity;
            if (begin < end)
            {
                this->send(node, begin, end);
            }
        }
    }

private:
    struct part
    {
        std::size_t begin = 0;
        std::size_t end = 0;
    };

    // to the first of a part that the sender holds for alive
    void send(std::size_t node, std::size_t begin, std::size_t end)
    {
        for (std::size_t place = begin; place < end; ++place)
        {
            std::size_t const child = place % this->network.size();
            if (this->network.at(node).state_of(this->network.name_of(child)) ==
                member_state::alive)
            {
                this->parts[child] = {place + 1, end};
                this->network.announce(node, child);
                return;
            }
        }
    }

    gossip_network & network;
    std::vector<part> parts;
};

class capacity_run
{
public:
    capacity_run(std::size_t count, spread_way chosen)
        : members(count)
        , way(chosen)
        , network(make_options(count, chosen))
        , tree(network)
        , random(seed)
    {
        this->network.start_all();
        this->network.introduce_all();
        this->network.run_for(settle_span);
    }

    node_cost calm()
    {
        this->network.reset_counters();
        double const before = cpu_seconds();
        this->network.run_for(calm_span);
        return this->cost_since(before, calm_span);
    }

    spread_result spread(bool with_failures)
    {
        spread_result result;
        int const count = with_failures ? 1 : calm_spreads;
        for (int i = 0; i < count; ++i)
        {
            this->spread_once(with_failures, result);
        }
        std::sort(result.seconds_to_adopt.begin(),
                  result.seconds_to_adopt.end());
        return result;
    }

private:
    void spread_once(bool fail_some, spread_result & result)
    {
        object_version const version(++this->last_version);
        time_point const begin = this->network.now();
        std::vector<double> times;
        this->network.on_adoption(
            [this, &times, begin](std::size_t node, object_version)
            {
                times.push_back(
                    std::chrono::duration<double>(this->network.now() - begin)
                        .count());
                if (this->way == spread_way::tree)
                {
                    this->tree.forward(node);
                }
            });
        std::size_t const origin = this->random_running();
        if (fail_some)
        {
            this->fail_some(origin);
        }
        this->network.reset_counters();
        double const before = cpu_seconds();
        this->tree.start_at(origin);
        this->network.set_configuration_version(origin, version);
        this->network.run_for(spread_limit);
        this->network.on_adoption(nullptr);
        result.cost = this->cost_since(before, spread_limit);
        result.never += this->running() - times.size();
        result.seconds_to_adopt.insert(
            result.seconds_to_adopt.end(), times.begin(), times.end());
    }

    void fail_some(std::size_t except)
    {
        for (std::size_t i = 0; i < this->members / failing_divisor; ++i)
        {
            std::size_t const node = this->random_running();
            if (node != except)
            {
                this->network.crash(node);
            }
        }
    }

    std::size_t random_running()
    {
        std::size_t node = this->random() % this->members;
        while (!this->network.is_running(node))
        {
            node = this->random() % this->members;
        }
        return node;
    }

    std::size_t running() const
    {
        std::size_t count = 0;
        for (std::size_t i = 0; i < this->members; ++i)
        {
            count += this->network.is_running(i) ? 1 : 0;
        }
        return count;
    }

    // sent and received alike, so a node's share of the traffic counts twice
    node_cost cost_since(double cpu_before, seconds span) const
    {
        double const node_seconds = static_cast<double>(
            this->running() * static_cast<std::size_t>(span.count()));
        constexpr double microseconds = 1e6;
        auto const & sent = this->network.counters();
        return {(cpu_seconds() - cpu_before) * microseconds / node_seconds,
                2 * static_cast<double>(sent.bytes) / node_seconds,
                2 * static_cast<double>(sent.datagrams) / node_seconds};
    }

    std::size_t members;
    spread_way way;
    gossip_network network;
    capacity_tree tree;
    std::mt19937_64 random;
    std::uint64_t last_version = 0;
};

double platform_reads_per_s(std::size_t members)
{
    duration const interval =
        detail::joined_read_interval(detail::contact_list_options(), members);
    return static_cast<double>(members) /
           std::chrono::duration<double>(interval).count();
}

void print(std::size_t members,
           spread_way way,
           bool with_failures,
           node_cost const & cost,
           double heap_kb,
           spread_result const & spread)
{
    auto const & times = spread.seconds_to_adopt;
    std::printf("capacity role=membership members=%zu cpu_us_per_s=%.0f "
                "bytes_per_s=%.0f rss_kb=%.0f spread_p50_s=%.2f "
                "spread_max_s=%.2f platform_reads_per_s=%.1f "
                "platform_writes_per_s=0 way=%s failing_percent=%d "
                "datagrams_per_s=%.1f never=%zu\n",
                members,
                cost.cpu_us_per_s,
                cost.bytes_per_s,
                heap_kb,
                times[times.size() / 2],
                times.back(),
                platform_reads_per_s(members),
                way == spread_way::gossip ? "gossip" : "tree",
                with_failures ? 10 : 0,
                cost.datagrams_per_s,
                spread.never);
    std::fflush(stdout);
}

void measure(std::size_t members)
{
    double const heap_kb = node_heap_kb(members);
    for (spread_way const way : {spread_way::gossip, spread_way::tree})
    {
        capacity_run run(members, way);
        node_cost const calm = run.calm();
        print(members, way, false, calm, heap_kb, run.spread(false));
        spread_result const failing = run.spread(true);
        print(members, way, true, failing.cost, heap_kb, failing);
    }
}

// the same over real sockets and threads, with the system calls
void measure_processor_time()
{
    machine_clock const time;
    std::vector<std::unique_ptr<detail::membership_service>> services;
    for (std::size_t i = 0; i < real_members; ++i)
    {
        auto next = std::make_unique<detail::membership_service>(time);
        failure reason;
        if (!next->open({"127.0.0.1", 0}, reason))
        {
            std::printf("capacity role=membership_thread failed=%s\n",
                        reason.describe().c_str());
            return;
        }
        member self;
        self.name = node_name("node-" + std::to_string(i));
        self.incarnation_number = incarnation(1);
        self.service = service_name("listings");
        self.domain = failure_domain("almaty-a");
        self.region = region_name("almaty");
        self.peer_address = next->address();
        next->announce(self);
        next->start(nullptr);
        next->join(
            {services.empty() ? next->address() : services.front()->address()});
        services.push_back(std::move(next));
    }
    absl::SleepFor(absl::FromChrono(settle_span));
    double const before = cpu_seconds();
    absl::SleepFor(absl::FromChrono(calm_span));
    double const spent = cpu_seconds() - before;
    double const node_seconds = static_cast<double>(real_members) *
                                static_cast<double>(calm_span.count());
    constexpr double microseconds = 1e6;
    std::printf("capacity role=membership_thread members=%zu "
                "cpu_us_per_s=%.0f known=%zu\n",
                real_members,
                spent * microseconds / node_seconds,
                services.back()->snapshot()->size());
}

} // namespace
} // namespace endivehinge

int main(int argc, char ** argv)
{
    std::vector<std::size_t> sizes;
    for (int i = 1; i < argc; ++i)
    {
        sizes.push_back(std::strtoul(argv[i], nullptr, 10));
    }
    if (sizes.empty())
    {
        sizes = {50, 500, 2000, 5500};
    }
    endivehinge::detail::start_logging(endivehinge::detail::log_level::warning);
    endivehinge::measure_processor_time();
    for (std::size_t const members : sizes)
    {
        endivehinge::measure(members);
    }
    return 0;
}

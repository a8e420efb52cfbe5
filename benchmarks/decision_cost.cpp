#include <cstdint> // uint64_t
#include <random>  // mt19937_64
#include <string>  // to_string
#include <vector>  // vector

#include <benchmark/benchmark.h>

#include <endivehinge/policy/admission_controller.hpp>
#include <endivehinge/policy/load_aware_policy.hpp>
#include <endivehinge/policy/signal_table.hpp>

namespace
{

using namespace endivehinge;
using std::chrono::microseconds;
using std::chrono::milliseconds;

time_point const start(std::chrono::seconds(100));

// a third of the targets are in the own failure domain
std::vector<placement_candidate> make_candidates(std::int64_t count)
{
    std::mt19937_64 random(1);
    std::vector<placement_candidate> made;
    for (std::int64_t index = 0; index < count; ++index)
    {
        placement_candidate next;
        next.node = node_name("node-" + std::to_string(index));
        next.local = index == 0;
        next.same_domain = index < count / 3;
        next.signal = load_signal{static_cast<double>(random() % 25),
                                  20,
                                  milliseconds(8),
                                  start - milliseconds(random() % 50)};
        next.observed_latency = latency_observation{milliseconds(8), start};
        next.round_trip_time = microseconds(500);
        made.push_back(next);
    }
    return made;
}

void placement_decision(benchmark::State & state)
{
    auto const candidates = make_candidates(state.range(0));
    load_aware_policy const policy;
    std::mt19937_64 random(1);
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(policy.choose(candidates, start, random));
    }
}

BENCHMARK(placement_decision)->Arg(10)->Arg(100)->Arg(1000);

// what one answer costs in the table of signals
void signal_update(benchmark::State & state)
{
    auto const candidates = make_candidates(state.range(0));
    signal_table table;
    std::uint64_t next = 0;
    time_point now = start;
    for (auto _ : state)
    {
        auto const & node = candidates[++next % candidates.size()].node;
        table.sent(node, now);
        attempt_report report;
        report.sent_at = now;
        now += microseconds(1);
        report.signal = load_signal{10, 20, milliseconds(8), now};
        report.time_at_node = microseconds(1);
        table.ended(node, report, now);
    }
}

BENCHMARK(signal_update)->Arg(10)->Arg(100)->Arg(1000);

// one request in and one out at a full target, with that many queued
void admission_decision_cost(benchmark::State & state)
{
    constexpr std::uint32_t slots = 20;
    admission_options options;
    options.concurrency.slow_start = false;
    admission_controller controller(options);
    controller.announce({announced_phase::ready, slots, 1});
    std::uint64_t next = 0;
    time_point now = start;
    auto const waiting = static_cast<std::uint64_t>(state.range(0));
    auto const offer = [&controller, &next, &now]()
    {
        ++next;
        return controller.offer({ticket_id(next),
                                 priority::interactive,
                                 now + std::chrono::seconds(100)},
                                now);
    };
    for (std::uint64_t count = 0; count < slots + waiting; ++count)
    {
        benchmark::DoNotOptimize(offer());
    }
    std::uint64_t oldest = 0;
    for (auto _ : state)
    {
        now += microseconds(1);
        benchmark::DoNotOptimize(offer());
        controller.finish(
            ticket_id(++oldest), execution_result::succeeded, now);
        benchmark::DoNotOptimize(controller.take_ready(now));
    }
}

BENCHMARK(admission_decision_cost)->Arg(10)->Arg(100)->Arg(1000);

} // namespace

BENCHMARK_MAIN();

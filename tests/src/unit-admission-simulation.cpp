#include <gtest/gtest.h>

#include "simulation/admission_simulation.hpp"

namespace endivehinge::tests
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// @brief every target is slow from 2 s to 10 s
admission_simulation_plan all_targets_slow_plan(double factor)
{
    admission_simulation_plan plan;
    plan.slowdown = [factor](std::size_t, duration since)
    {
        return since >= seconds(2) && since < seconds(10) ? factor : 1.0;
    };
    return plan;
}

class admission_simulation_test : public ::testing::TestWithParam<std::uint64_t>
{
protected:
    static admission_simulation simulate(admission_simulation_plan const & plan,
                                         duration interval)
    {
        admission_simulation simulation(plan, GetParam());
        simulation.add_requests(seconds(0), seconds(14), interval);
        simulation.run();
        return simulation;
    }
};

// 20 requests per second with a run time of 480 ms each: all meet the time
// limit, and the slots of three targets suffice
TEST_P(admission_simulation_test,
       slow_targets_serve_requests_that_meet_the_deadline)
{
    auto const simulation =
        simulate(all_targets_slow_plan(12), milliseconds(50));
    auto const slow = simulation.summary(seconds(2), seconds(10));
    EXPECT_EQ(slow.unanswered, 0U);
    EXPECT_EQ(slow.answered(), 160U);
    EXPECT_EQ(simulation.summary(seconds(0), seconds(1)).on_time, 20U);
    EXPECT_EQ(simulation.summary(seconds(11), seconds(14)).on_time, 60U);
}

// a run time of 1,200 ms exceeds the time limit
TEST_P(admission_simulation_test,
       requests_that_cannot_meet_the_deadline_are_refused_early)
{
    auto const simulation =
        simulate(all_targets_slow_plan(30), milliseconds(50));
    auto const slow = simulation.summary(seconds(4), seconds(10));
    EXPECT_GE(slow.refused, 110U);
    EXPECT_LT(slow.longest_refusal, milliseconds(300));
    EXPECT_EQ(simulation.summary(seconds(11), seconds(14)).on_time, 60U);
}

// typical noise: each target is slow in some periods of 150 ms
TEST_P(admission_simulation_test, short_slow_periods_delay_few_responses)
{
    admission_simulation_plan plan;
    plan.slowdown = [](std::size_t target, duration since)
    {
        auto const period = static_cast<std::size_t>(since / milliseconds(150));
        return (period * 7 + target * 5) % 11 < 3 ? 5.0 : 1.0;
    };
    auto const simulation = simulate(plan, milliseconds(20));
    auto const all = simulation.summary(seconds(1), seconds(14));
    EXPECT_EQ(all.answered(), 650U);
    EXPECT_GE(all.on_time, 640U);
}

// two of four targets are slow for eight seconds in addition to the typical
// noise, and more requests arrive than the slots can run
TEST_P(admission_simulation_test, overload_of_slow_targets_is_refused_early)
{
    admission_simulation_plan plan;
    plan.targets = 4;
    plan.slots = 12;
    plan.run_time = milliseconds(72);
    plan.slowdown = [](std::size_t target, duration since)
    {
        auto const period = static_cast<std::size_t>(since / milliseconds(150));
        double const noise = (period * 7 + target * 5) % 11 < 3 ? 5.0 : 1.0;
        bool const slow =
            target < 2 && since >= seconds(2) && since < seconds(10);
        return slow ? 12 * noise : noise;
    };
    auto const simulation = simulate(plan, milliseconds(4));
    auto const slow = simulation.summary(seconds(2), seconds(10));
    EXPECT_LE(slow.unanswered, 20U) << "at most 1 % of the requests";
    EXPECT_GE(slow.on_time, 1000U)
        << "half of the requests, since two targets are slow";
    EXPECT_LE(slow.max_placements, 12U) << "three rounds of four targets each";
    EXPECT_GE(simulation.summary(seconds(11), seconds(14)).on_time, 590U);
}

/// @brief all processes of a fleet lose power and return together: for three
/// seconds every target is cold, takes twice as long and may receive 26
/// requests in any second
admission_simulation_plan returning_fleet_plan()
{
    admission_simulation_plan plan;
    plan.targets = 24;
    plan.nodes = 24;
    plan.slots = 12;
    plan.run_time = milliseconds(160);
    plan.latency_target = milliseconds(500);
    plan.time_limit = milliseconds(1200);
    plan.cold_until = seconds(3);
    plan.cold_rate = 12;
    plan.cold_bound = {1.5, 8};
    plan.slowdown = [](std::size_t target, duration since)
    {
        auto const period = static_cast<std::size_t>(since / milliseconds(500));
        double const noise = (period * 7 + target * 5) % 11 < 3 ? 7.0 : 1.0;
        return since < seconds(3) ? 2 * noise : noise;
    };
    return plan;
}

// 13 requests per target and second arrive
TEST_P(admission_simulation_test, a_fleet_that_returns_cold_serves_its_rate)
{
    auto const simulation =
        simulate(returning_fleet_plan(), std::chrono::microseconds(3200));
    auto const cold = simulation.summary(seconds(0), seconds(3));
    EXPECT_GE(cold.on_time, 560U) << "0.6 of 937 requests";
    EXPECT_LE(cold.unanswered, 9U) << "at most 1 % of the requests";
    EXPECT_LE(cold.max_placements, 16U);
    EXPECT_GE(simulation.summary(seconds(6), seconds(14)).on_time, 2400U);
}

// 30 requests per target and second arrive, more than the rate allows. A queue
// that grows to the deadline makes every response late.
TEST_P(admission_simulation_test, an_overloaded_cold_fleet_answers_on_time)
{
    auto const simulation =
        simulate(returning_fleet_plan(), std::chrono::microseconds(1400));
    auto const cold = simulation.summary(seconds(0), seconds(3));
    EXPECT_GE(cold.on_time, 4 * cold.late);
    EXPECT_GE(cold.on_time, 860U) << "0.6 of the 1,440 that the rate allows";
    EXPECT_LE(cold.unanswered, 21U) << "at most 1 % of the requests";
}

// A request that takes longer than its latency target on a cold target is worth
// running late, since no target is faster.
TEST_P(admission_simulation_test, a_cold_fleet_serves_long_requests_late)
{
    auto plan = returning_fleet_plan();
    plan.run_time = milliseconds(270);
    auto const simulation = simulate(plan, std::chrono::microseconds(2500));
    auto const cold = simulation.summary(seconds(0), seconds(3));
    EXPECT_GE(cold.answered(), 560U) << "nearly half of 1,200 requests";
}

// Many users come at once for six seconds: 1,200 requests per second arrive
// where the slots run 720. Overload was forgotten whenever a queue became
// empty; the next queue was then filled up to the deadline, waited until its
// requests could no longer be on time, and they did the same at the next
// target.
TEST_P(admission_simulation_test, a_burst_is_served_on_time_or_refused_at_once)
{
    admission_simulation_plan plan;
    plan.targets = 24;
    plan.nodes = 24;
    plan.slots = 12;
    plan.run_time = milliseconds(300);
    plan.latency_target = milliseconds(600);
    plan.time_limit = milliseconds(2500);
    admission_simulation simulation(plan, GetParam());
    simulation.add_requests(
        seconds(0), seconds(2), std::chrono::microseconds(2000));
    simulation.add_requests(
        seconds(2), seconds(8), std::chrono::microseconds(833));
    simulation.add_requests(
        seconds(8), seconds(10), std::chrono::microseconds(2000));
    simulation.run();
    auto const burst = simulation.summary(seconds(3), seconds(8));
    EXPECT_GE(burst.on_time, 2880U) << "0.8 of what the slots run";
    EXPECT_LE(burst.late, 288U);
    EXPECT_LE(to_milliseconds(burst.mean_refusal()), 75.0)
        << "an eighth of the latency target";
    EXPECT_EQ(burst.unanswered, 0U);
    EXPECT_GE(simulation.summary(seconds(9), seconds(10)).on_time, 490U);
}

INSTANTIATE_TEST_SUITE_P(seeds,
                         admission_simulation_test,
                         ::testing::Range(1UL, 6UL));

} // namespace
} // namespace endivehinge::tests

#include <gtest/gtest.h>

#include <cmath> // pow

#include <absl/strings/str_cat.h> // StrCat

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
    plan.slots = 9;
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
    plan.slots = 9;
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
    plan.slots = 9;
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

// Client accounts share targets of four slots. The first of
// 76 accounts sends a quarter of all requests, the last ones two a second.
constexpr std::size_t account_count = 76;
constexpr double largest_rate = 120;
constexpr double smallest_rate = 2;
// of the run time of 80 ms in the slots
constexpr double requests_per_target = 50;

account_load usual_load(std::size_t account)
{
    account_load load;
    load.name = account_name(absl::StrCat("account-", account));
    load.requests_per_second =
        std::max(largest_rate / std::pow(account + 1, 1.1), smallest_rate);
    load.weight = 1.6 * load.requests_per_second;
    return load;
}

admission_simulation_plan accounts_plan(std::size_t targets)
{
    admission_simulation_plan plan;
    plan.targets = targets;
    plan.nodes = targets;
    plan.slots = 4;
    plan.run_time = milliseconds(80);
    plan.latency_target = milliseconds(400);
    plan.time_limit = milliseconds(1200);
    return plan;
}

/// @brief all accounts send their usual load, except for one
/// @return sums over all accounts but that one
account_summary simulate_accounts(admission_simulation & simulation,
                                  account_load const & special,
                                  double largest_summed_rate)
{
    std::vector<account_load> others;
    for (std::size_t i = 0; i < account_count; ++i)
    {
        auto const load = usual_load(i);
        if (load.name != special.name)
        {
            others.push_back(load);
            simulation.add_account_requests(load, seconds(0), seconds(8));
        }
    }
    simulation.add_account_requests(special, seconds(0), seconds(8));
    simulation.run();
    account_summary sum;
    for (auto const & load : others)
    {
        if (load.requests_per_second <= largest_summed_rate)
        {
            auto const summary =
                simulation.summary_of(load.name, seconds(3), seconds(8));
            sum.sent += summary.sent;
            sum.answered += summary.answered;
        }
    }
    return sum;
}

account_load flooding_load(std::size_t account)
{
    auto load = usual_load(account);
    load.requests_per_second *= 7;
    return load;
}

// Without the order by use, the flood takes half of what the others need.
TEST_P(admission_simulation_test, a_flooding_account_takes_nothing_from_others)
{
    constexpr std::size_t targets = 13;
    admission_simulation simulation(accounts_plan(targets), GetParam());
    auto const flood = flooding_load(0);
    auto const others = simulate_accounts(simulation, flood, largest_rate);
    EXPECT_GE(others.answered_share(), 0.97);
    auto const all = simulation.summary(seconds(3), seconds(8));
    EXPECT_GE(all.answered(), 0.9 * requests_per_target * targets * 5)
        << "the flooding account gets what the others leave";
    EXPECT_LE(to_milliseconds(all.mean_refusal()), 75.0);
}

// Too little room for the usual load alone
TEST_P(admission_simulation_test, small_accounts_are_served_beside_large_ones)
{
    constexpr std::size_t targets = 8;
    admission_simulation simulation(accounts_plan(targets), GetParam());
    auto const flood = flooding_load(5);
    auto const small = simulate_accounts(simulation, flood, 5);
    auto const all = simulation.summary(seconds(3), seconds(8));
    double const all_share = static_cast<double>(all.answered()) /
                             static_cast<double>(all.answered() + all.refused);
    EXPECT_GE(small.answered_share(), all_share);
    for (std::size_t i = 0; i < account_count; ++i)
    {
        auto const load = usual_load(i);
        if (load.name != flood.name)
        {
            EXPECT_GE(simulation.summary_of(load.name, seconds(3), seconds(8))
                          .answered_share(),
                      all_share / 2)
                << load.name;
        }
    }
    EXPECT_GE(all.answered(), 0.9 * requests_per_target * targets * 5);
    EXPECT_EQ(all.unanswered, 0U);
}

// Each refused request was sent to four of eight targets before.
TEST_P(admission_simulation_test, a_flood_is_refused_where_it_begins)
{
    admission_simulation simulation(accounts_plan(8), GetParam());
    static_cast<void>(
        simulate_accounts(simulation, flooding_load(0), largest_rate));
    auto const all = simulation.summary(seconds(0), seconds(8));
    EXPECT_LE(simulation.offers(), 1.5 * (all.answered() + all.refused));
}

// The flood goes on alone: one second later it has all slots.
TEST_P(admission_simulation_test, capacity_goes_to_the_others_at_once)
{
    constexpr std::size_t targets = 8;
    admission_simulation simulation(accounts_plan(targets), GetParam());
    auto const flood = flooding_load(0);
    simulation.add_account_requests(flood, seconds(0), seconds(8));
    for (std::size_t i = 1; i < account_count; ++i)
    {
        simulation.add_account_requests(usual_load(i), seconds(0), seconds(5));
    }
    simulation.run();
    auto const before =
        simulation.summary_of(flood.name, seconds(4), seconds(5));
    EXPECT_LE(before.answered, 0.5 * requests_per_target * targets);
    auto const after =
        simulation.summary_of(flood.name, seconds(6), seconds(7));
    EXPECT_GE(after.answered, 0.9 * requests_per_target * targets);
}

// Two accounts send the same, one of them returns 20 ms after each refusal.
TEST_P(admission_simulation_test, early_retries_buy_no_capacity)
{
    admission_simulation simulation(accounts_plan(8), GetParam());
    account_load patient;
    patient.name = account_name("patient");
    patient.requests_per_second = 400;
    auto hasty = patient;
    hasty.name = account_name("hasty");
    hasty.retry_delay = milliseconds(20);
    hasty.max_retries = 10;
    simulation.add_account_requests(patient, seconds(0), seconds(8));
    simulation.add_account_requests(hasty, seconds(0), seconds(8));
    simulation.run();
    auto const answered = [&](account_load const & load)
    {
        return simulation.summary_of(load.name, seconds(2), seconds(8))
            .answered;
    };
    EXPECT_LE(answered(hasty), 1.1 * answered(patient));
}

// An account of the first rank floods; accounts of a later rank that used less
// do not come before it.
TEST_P(admission_simulation_test, ranks_hold_across_accounts)
{
    admission_simulation simulation(accounts_plan(8), GetParam());
    auto urgent = usual_load(0);
    urgent.rank = 0;
    urgent.requests_per_second = 300;
    static_cast<void>(simulate_accounts(simulation, urgent, largest_rate));
    EXPECT_GE(simulation.summary_of(urgent.name, seconds(3), seconds(8))
                  .answered_share(),
              0.97);
}

INSTANTIATE_TEST_SUITE_P(seeds,
                         admission_simulation_test,
                         ::testing::Range(1UL, 6UL));

} // namespace
} // namespace endivehinge::tests

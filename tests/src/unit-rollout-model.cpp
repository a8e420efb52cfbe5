#include <gtest/gtest.h>

#include <string> // string
#include <vector> // vector

#include <simulation/rollout_model.hpp>

namespace endivehinge::tests
{
namespace
{

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t seeds = 5;

rollout_plan make_plan(std::uint64_t seed, bool is_large)
{
    rollout_plan plan;
    plan.seed = seed;
    plan.requests_per_second = is_large ? 303 : 150;
    plan.old_nodes = is_large ? 6 : 4;
    plan.new_nodes = plan.old_nodes;
    plan.order = {service_name("s"),
                  software_version("v2"),
                  is_large ? seconds(16) : seconds(14)};
    return plan;
}

rollout_fault fails(double share)
{
    rollout_fault fault;
    fault.failure_share = share;
    return fault;
}

rollout_fault slow(double factor)
{
    rollout_fault fault;
    fault.run_time_factor = factor;
    return fault;
}

rollout_fault late(rollout_fault fault)
{
    fault.begins_after = milliseconds(2500);
    return fault;
}

rollout_fault under_load(rollout_fault fault)
{
    fault.under_load_only = true;
    return fault;
}

rollout_fault on_rare_route(rollout_fault fault)
{
    fault.route = "rare";
    return fault;
}

void expect_conclusion(rollout_plan const & plan, rollout_state expected)
{
    auto const result = rollout_model(plan).play();
    EXPECT_TRUE(result.violations.empty()) << result.violations.front();
    ASSERT_EQ(result.conclusions.size(), 1U);
    EXPECT_EQ(result.conclusions[0].state, expected)
        << result.conclusions[0].reason;
    EXPECT_LT(*result.concluded_at, plan.order.length);
    if (expected == rollout_state::rolled_back)
    {
        auto const arrivals =
            plan.requests_per_second *
            std::chrono::duration<double>(plan.order.length).count();
        EXPECT_LE(static_cast<double>(result.by_new), 0.1 * arrivals + 50);
    }
}

class rollout_fault_test : public testing::TestWithParam<rollout_fault>
{
};

// guards against a bad version that is completed, rolled back too late, or that
// gets more than the exposed share
TEST_P(rollout_fault_test, is_rolled_back_within_the_exposed_share)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        for (bool const is_large : {false, true})
        {
            SCOPED_TRACE(seed);
            auto plan = make_plan(seed, is_large);
            plan.new_version = GetParam();
            expect_conclusion(plan, rollout_state::rolled_back);
        }
    }
}

INSTANTIATE_TEST_SUITE_P(all,
                         rollout_fault_test,
                         testing::Values(fails(0.5),
                                         slow(8),
                                         late(fails(0.5)),
                                         late(slow(8)),
                                         under_load(fails(0.5)),
                                         under_load(slow(8)),
                                         on_rare_route(fails(0.5)),
                                         on_rare_route(slow(8))));

class rollout_false_alarm : public testing::TestWithParam<rollout_plan>
{
};

// guards against a good version that is rolled back or too late
TEST_P(rollout_false_alarm, does_not_condemn_a_good_version)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        for (bool const is_large : {false, true})
        {
            SCOPED_TRACE(seed);
            auto plan = make_plan(seed, is_large);
            plan.first_new_target = GetParam().first_new_target;
            plan.all_targets = GetParam().all_targets;
            plan.shared_begin = GetParam().shared_begin;
            plan.shared_end = GetParam().shared_end;
            plan.coordinator_ends = GetParam().coordinator_ends;
            expect_conclusion(plan, rollout_state::completed);
        }
    }
}

rollout_plan one_target(rollout_fault const & fault)
{
    rollout_plan plan;
    plan.first_new_target = fault;
    return plan;
}

rollout_plan shared(rollout_fault const & fault, duration begin, duration end)
{
    rollout_plan plan;
    plan.all_targets = fault;
    plan.shared_begin = begin;
    plan.shared_end = end;
    return plan;
}

rollout_plan coordinator_killed(duration when)
{
    rollout_plan plan;
    plan.coordinator_ends = when;
    return plan;
}

INSTANTIATE_TEST_SUITE_P(
    all,
    rollout_false_alarm,
    testing::Values(rollout_plan(),
                    one_target(fails(1)),
                    one_target(slow(8)),
                    shared(fails(0.05), seconds(0), seconds(99)),
                    shared(fails(0.3), seconds(4), milliseconds(5500)),
                    shared(slow(5), seconds(4), milliseconds(5500)),
                    coordinator_killed(seconds(2)),
                    coordinator_killed(milliseconds(6500))));

// guards against a second conclusion, an old target after completed, a new one
// after rolled_back or without the order, and too much exposure in the trial,
// under kills, pauses, cuts, and late or lost messages and store answers
TEST(rollout_faults, no_schedule_breaks_a_promise)
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed)
    {
        SCOPED_TRACE(seed);
        auto plan = make_plan(seed, seed % 2 == 0);
        plan.with_faults = true;
        plan.new_version = seed % 4 < 2 ? rollout_fault() : late(fails(0.5));
        auto const result = rollout_model(plan).play();
        EXPECT_TRUE(result.violations.empty()) << result.violations.front();
        bool const is_bad = seed % 4 >= 2;
        bool const is_completed =
            !result.conclusions.empty() &&
            result.conclusions[0].state == rollout_state::completed;
        EXPECT_FALSE(is_bad && is_completed);
    }
}

// guards against orders that never end or that are completed without evidence
TEST(rollout_bad_input, gets_a_true_status)
{
    auto no_time = make_plan(1, false);
    no_time.order.length = duration::zero();
    auto const result = rollout_model(no_time).play();
    ASSERT_EQ(result.conclusions.size(), 1U);
    EXPECT_EQ(result.conclusions[0].state, rollout_state::rolled_back);

    auto no_target = make_plan(1, false);
    no_target.new_nodes = 0;
    expect_conclusion(no_target, rollout_state::rolled_back);
}

TEST(rollout_bad_input, order_for_the_present_version_loses_no_request)
{
    auto plan = make_plan(1, false);
    plan.order.target_version = software_version("v1");
    plan.new_nodes = 0;
    auto const result = rollout_model(plan).play();
    EXPECT_EQ(result.refused, 0U);
    ASSERT_EQ(result.conclusions.size(), 1U);
    EXPECT_EQ(result.conclusions[0].state, rollout_state::completed);
}

} // namespace
} // namespace endivehinge::tests

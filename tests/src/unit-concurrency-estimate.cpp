#include <gtest/gtest.h>

#include "simulation/admission_simulation.hpp"
#include <endivehinge/policy/concurrency_estimate.hpp>

namespace endivehinge::tests
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

time_point const start_time{seconds(1000)};
constexpr std::uint32_t slots = 20;
constexpr std::size_t base_limit = 16;

/// @brief records run times at a level of concurrency, ten a second
void record(concurrency_estimate & estimate,
            std::size_t concurrency,
            duration run_time,
            time_point from,
            std::string const & route = "route")
{
    for (int i = 0; i < 16; ++i)
    {
        estimate.record(
            route, concurrency, run_time, from + i * milliseconds(100));
    }
}

TEST(concurrency_estimate, all_slots_are_tried_until_a_run_time_is_known)
{
    concurrency_estimate estimate;
    estimate.set_slots(slots);
    EXPECT_EQ(estimate.limit(), slots);
    record(estimate, 3, milliseconds(100), start_time);
    EXPECT_EQ(estimate.limit(), slots);
}

TEST(concurrency_estimate, last_slots_stay_free_if_they_slow_the_target)
{
    concurrency_estimate estimate;
    estimate.set_slots(slots);
    record(estimate, base_limit, milliseconds(100), start_time);
    record(estimate, slots, milliseconds(170), start_time + seconds(2));
    EXPECT_EQ(estimate.limit(), 18) << "nine tenths are not known to be slow";
    record(estimate, 18, milliseconds(170), start_time + seconds(4));
    EXPECT_EQ(estimate.limit(), base_limit);
}

TEST(concurrency_estimate, follows_a_target_that_changes_over)
{
    concurrency_estimate estimate;
    estimate.set_slots(slots);
    record(estimate, base_limit, milliseconds(100), start_time);
    record(estimate, slots, milliseconds(100), start_time);
    EXPECT_EQ(estimate.limit(), slots);
    record(estimate, slots, milliseconds(170), start_time + seconds(2));
    record(estimate, 18, milliseconds(170), start_time + seconds(2));
    EXPECT_EQ(estimate.limit(), base_limit);
    record(estimate, base_limit, milliseconds(100), start_time + seconds(100));
    EXPECT_EQ(estimate.limit(), slots) << "expired, so tried again";
}

TEST(concurrency_estimate, waits_for_calls_do_not_count)
{
    concurrency_estimate estimate;
    estimate.set_slots(slots);
    record(estimate, base_limit, milliseconds(100), start_time);
    for (int i = 0; i < 16; ++i)
    {
        // two of three wait for calls to an overloaded service
        estimate.record("route",
                        slots,
                        milliseconds(i % 3 == 0 ? 100 : 300),
                        start_time + seconds(2));
    }
    EXPECT_EQ(estimate.limit(), slots);
}

TEST(concurrency_estimate, routes_of_different_length_are_told_apart)
{
    concurrency_estimate estimate;
    estimate.set_slots(slots);
    record(estimate, base_limit, milliseconds(20), start_time, "short");
    record(estimate, base_limit, milliseconds(400), start_time, "long");
    record(estimate, slots, milliseconds(400), start_time, "long");
    EXPECT_EQ(estimate.limit(), slots);
}

/// @brief requests answered in time in two seconds at 1.15 times the load that
/// eight tenths of the slots bear
std::size_t on_time_under_overload(double nearly_full_slowdown)
{
    admission_simulation_plan plan;
    plan.slots = slots;
    plan.run_time = milliseconds(100);
    plan.nearly_full_slowdown = [nearly_full_slowdown](duration)
    {
        return nearly_full_slowdown;
    };
    admission_simulation simulation(plan, 1);
    simulation.add_requests(
        duration(0), seconds(4), std::chrono::microseconds(1'800));
    simulation.run();
    return simulation.summary(seconds(2), seconds(4)).on_time;
}

TEST(admission_simulation_test, last_slots_are_used_where_they_add_throughput)
{
    // 3 targets x 16 slots x 10 a second, in 2 s
    constexpr std::size_t base_capacity = 960;
    EXPECT_GE(on_time_under_overload(1), base_capacity * 105 / 100);
    EXPECT_GE(on_time_under_overload(1.7), base_capacity * 85 / 100);
}

} // namespace
} // namespace endivehinge::tests

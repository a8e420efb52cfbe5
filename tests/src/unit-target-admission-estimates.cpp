#include <gtest/gtest.h>

#include <endivehinge/policy/cold_rate_limiter.hpp>
#include <endivehinge/policy/run_time_estimates.hpp>
#include <endivehinge/policy/slowdown_tracker.hpp>

namespace endivehinge
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

time_point const start_time{seconds(1000)};

TEST(cold_rate_limiter, states_when_room_comes)
{
    cold_rate_limiter limiter(1, 1);
    limiter.set(start_time + seconds(10), 10);
    ASSERT_TRUE(limiter.has_room(start_time));
    limiter.spend();
    EXPECT_FALSE(limiter.has_room(start_time));
    EXPECT_EQ(limiter.next_room(), start_time + milliseconds(100));
    EXPECT_EQ(limiter.wait_for(3, start_time), milliseconds(300));
    EXPECT_TRUE(limiter.has_room(start_time + milliseconds(100)));
}

TEST(cold_rate_limiter, does_not_bound_a_warm_target)
{
    cold_rate_limiter limiter(1, 1);
    limiter.set(start_time, 10);
    limiter.spend();
    EXPECT_TRUE(limiter.has_room(start_time));
    EXPECT_EQ(limiter.wait_for(100, start_time), duration(0));
    limiter.set(start_time + seconds(10), 0);
    EXPECT_TRUE(limiter.has_room(start_time)) << "no rate is stated";
}

TEST(run_time_estimates, forgets_a_route_that_did_not_run_of_late)
{
    run_time_estimates estimates(0.5, seconds(1));
    estimates.add("a", milliseconds(100), start_time);
    estimates.add("a", milliseconds(200), start_time);
    EXPECT_EQ(estimates.of("a", start_time), milliseconds(150));
    EXPECT_EQ(estimates.of("b", start_time), duration(0));
    EXPECT_EQ(estimates.of("a", start_time + seconds(2)), duration(0));
    estimates.add("a", milliseconds(10), start_time + seconds(2));
    EXPECT_EQ(estimates.of("a", start_time + seconds(2)), milliseconds(10));
}

TEST(slowdown_tracker, decides_by_what_is_fresh_or_cannot_be_had)
{
    slowdown_tracker tracker{target_admission_options{}};
    EXPECT_TRUE(tracker.is_decided(start_time)) << "it is never stated";
    EXPECT_FALSE(tracker.try_start_probe(start_time));
    tracker.heard(5, start_time);
    EXPECT_TRUE(tracker.is_slow());
    auto const later = start_time + milliseconds(50);
    EXPECT_FALSE(tracker.is_decided(later));
    EXPECT_TRUE(tracker.try_start_probe(later));
    EXPECT_FALSE(tracker.try_start_probe(later)) << "one is on its way";
    tracker.probe_failed(later);
    EXPECT_TRUE(tracker.is_decided(later));
}

TEST(slowdown_tracker, a_slow_period_may_last_as_long_as_it_has)
{
    slowdown_tracker tracker{target_admission_options{}};
    tracker.heard(5, start_time);
    EXPECT_EQ(tracker.expected_remaining(start_time), milliseconds(50));
    EXPECT_EQ(tracker.expected_remaining(start_time + seconds(2)), seconds(2));
    tracker.heard(1, start_time + milliseconds(600));
    EXPECT_EQ(tracker.mean_period(), milliseconds(200));
}

} // namespace
} // namespace endivehinge

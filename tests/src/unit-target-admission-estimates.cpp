#include <gtest/gtest.h>

#include <endivehinge/policy/cold_rate_limiter.hpp>
#include <endivehinge/policy/run_time_estimates.hpp>
#include <endivehinge/policy/slowdown_tracker.hpp>
#include <endivehinge/policy/start_window.hpp>

namespace endivehinge
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

time_point const start_time{seconds(1000)};
// with a burst of one request, the bucket refills at the stated rate
cold_rate_bound const refills_at_stated_rate{1, 2};

TEST(cold_rate_limiter, returns_the_time_of_the_next_start)
{
    cold_rate_limiter limiter(1);
    limiter.set(start_time + seconds(10), 10, refills_at_stated_rate);
    ASSERT_TRUE(limiter.can_start(start_time));
    limiter.record_start(start_time);
    EXPECT_FALSE(limiter.can_start(start_time));
    EXPECT_EQ(limiter.next_start_time(), start_time + milliseconds(100));
    EXPECT_EQ(limiter.time_until_start(3, start_time), milliseconds(300));
    EXPECT_TRUE(limiter.can_start(start_time + milliseconds(100)));
}

TEST(cold_rate_limiter, does_not_limit_a_warm_target)
{
    cold_rate_limiter limiter(1);
    limiter.set(start_time, 10, refills_at_stated_rate);
    limiter.record_start(start_time);
    EXPECT_TRUE(limiter.can_start(start_time));
    EXPECT_EQ(limiter.time_until_start(100, start_time), duration(0));
    limiter.set(start_time + seconds(10), 0, refills_at_stated_rate);
    EXPECT_TRUE(limiter.can_start(start_time)) << "rate 0 means unlimited";
}

// A target becomes cold while it runs requests that started before the report.
TEST(cold_rate_limiter, counts_the_starts_before_a_target_becomes_cold)
{
    cold_rate_limiter limiter(4);
    limiter.set(start_time, 10, refills_at_stated_rate);
    for (int i = 0; i < 30; ++i)
    {
        limiter.record_start(start_time + milliseconds(10 * i));
    }
    limiter.set(start_time + seconds(5), 10, refills_at_stated_rate);
    EXPECT_FALSE(limiter.can_start(start_time + milliseconds(900)));
    EXPECT_EQ(limiter.next_start_time(), start_time + milliseconds(1200))
        << "one second after the tenth of the latest starts";
    EXPECT_TRUE(limiter.can_start(start_time + milliseconds(1200)));
}

TEST(start_window, returns_the_wait_for_further_starts)
{
    start_window window(seconds(1));
    window.set_capacity(2);
    EXPECT_EQ(window.time_until(2, start_time), duration(0));
    window.record_start(start_time);
    window.record_start(start_time + milliseconds(300));
    auto const now = start_time + milliseconds(400);
    EXPECT_EQ(window.time_until(1, now), milliseconds(600));
    EXPECT_EQ(window.time_until(2, now), milliseconds(900));
    EXPECT_EQ(window.time_until(3, now), milliseconds(1600));
    EXPECT_EQ(window.time_until(1, start_time + seconds(2)), duration(0));
}

TEST(run_time_estimates, discards_a_mean_without_recent_samples)
{
    run_time_estimates estimates(0.5, seconds(1));
    estimates.add("a", milliseconds(100), start_time);
    estimates.add("a", milliseconds(200), start_time);
    EXPECT_EQ(estimates.mean_for("a", start_time), milliseconds(150));
    EXPECT_EQ(estimates.mean_for("b", start_time), duration(0));
    EXPECT_EQ(estimates.mean_for("a", start_time + seconds(2)), duration(0));
    estimates.add("a", milliseconds(10), start_time + seconds(2));
    EXPECT_EQ(estimates.mean_for("a", start_time + seconds(2)),
              milliseconds(10));
}

TEST(slowdown_tracker, value_is_usable_if_recent_or_if_the_probe_failed)
{
    slowdown_tracker tracker{target_admission_options{}};
    EXPECT_TRUE(tracker.is_usable(start_time))
        << "the target never reported a slowdown";
    EXPECT_FALSE(tracker.try_start_probe(start_time));
    tracker.update(5, false, start_time);
    EXPECT_TRUE(tracker.is_slow());
    auto const later = start_time + milliseconds(50);
    EXPECT_FALSE(tracker.is_usable(later));
    EXPECT_TRUE(tracker.try_start_probe(later));
    EXPECT_FALSE(tracker.try_start_probe(later)) << "a probe is pending";
    tracker.probe_failed(later);
    EXPECT_TRUE(tracker.is_usable(later));
}

TEST(slowdown_tracker, remaining_slow_time_is_at_least_the_elapsed_one)
{
    slowdown_tracker tracker{target_admission_options{}};
    tracker.update(5, false, start_time);
    EXPECT_EQ(tracker.expected_remaining(start_time), milliseconds(50));
    EXPECT_EQ(tracker.expected_remaining(start_time + seconds(2)), seconds(2));
    tracker.update(1, false, start_time + milliseconds(600));
    EXPECT_EQ(tracker.mean_slow_duration(), milliseconds(200));
}

} // namespace
} // namespace endivehinge

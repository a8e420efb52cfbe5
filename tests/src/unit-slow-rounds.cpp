#include <gtest/gtest.h>

#include <vector> // vector

#include <endivehinge/policy/slow_rounds.hpp>

namespace endivehinge
{
namespace
{

using std::chrono::milliseconds;

time_point const start_time{std::chrono::seconds(1000)};
target_id const first("t-1");
target_id const second("t-2");

TEST(slow_rounds, every_target_may_decline_once)
{
    slow_rounds rounds;
    auto const now = start_time;
    EXPECT_EQ(rounds.choice(start_time), when_slow::decline);
    rounds.declined(first, rounds.choice(now));
    EXPECT_EQ(rounds.choice(start_time), when_slow::decline);
    rounds.declined(second, rounds.choice(now));
    EXPECT_EQ(rounds.next(start_time), (std::vector<target_id>{first, second}));
    EXPECT_EQ(rounds.choice(start_time), when_slow::wait);
}

TEST(slow_rounds, no_next_round_without_a_target_that_declined)
{
    slow_rounds rounds;
    EXPECT_TRUE(rounds.next(start_time).empty());
}

TEST(slow_rounds, waits_are_bounded_and_then_each_target_decides_once)
{
    slow_rounds rounds;
    auto now = start_time;
    rounds.declined(first, rounds.choice(now));
    rounds.declined(second, rounds.choice(now));
    ASSERT_EQ(rounds.next(now).size(), 2U);
    // waits at one and the other for the end of a slow period
    now += milliseconds(60);
    EXPECT_EQ(rounds.choice(now), when_slow::wait);
    rounds.declined(first, rounds.choice(now));
    now += milliseconds(60);
    rounds.declined(second, rounds.choice(now));
    ASSERT_EQ(rounds.next(now).size(), 2U);
    now += milliseconds(60);
    EXPECT_EQ(rounds.choice(now), when_slow::decide);
    rounds.declined(first, rounds.choice(now));
    rounds.declined(second, rounds.choice(now));
    EXPECT_TRUE(rounds.next(now).empty());
}

TEST(slow_rounds, no_target_waits_once_a_slow_period_has_passed)
{
    slow_rounds rounds;
    auto now = start_time;
    rounds.declined(first, rounds.choice(now));
    ASSERT_EQ(rounds.next(now).size(), 1U);
    now += milliseconds(151);
    EXPECT_EQ(rounds.choice(now), when_slow::decide);
}

TEST(slow_rounds, a_request_among_slow_targets_is_decided_within_its_bound)
{
    // all targets stay slow for seconds; each takes its whole patience
    slow_rounds rounds;
    auto now = start_time;
    std::vector<target_id> open{first, second, target_id("t-3")};
    while (!open.empty())
    {
        for (auto const & one : open)
        {
            auto const asked = rounds.choice(now);
            if (asked == when_slow::wait)
            {
                now += milliseconds(60);
            }
            rounds.declined(one, asked);
        }
        open = rounds.next(now);
    }
    EXPECT_LT(now - start_time, milliseconds(250));
}

} // namespace
} // namespace endivehinge

#include <gtest/gtest.h>

#include <vector> // vector

#include <endivehinge/policy/slow_target_rounds.hpp>

namespace endivehinge
{
namespace
{

using std::chrono::milliseconds;

time_point const start_time{std::chrono::seconds(1000)};
target_id const first("t-1");
target_id const second("t-2");

TEST(slow_target_rounds, every_target_may_decline_once)
{
    slow_target_rounds rounds;
    auto const now = start_time;
    EXPECT_EQ(rounds.next_action(start_time), slow_target_action::decline);
    rounds.record_decline(first, rounds.next_action(now));
    EXPECT_EQ(rounds.next_action(start_time), slow_target_action::decline);
    rounds.record_decline(second, rounds.next_action(now));
    EXPECT_EQ(rounds.start_next_round(start_time),
              (std::vector<target_id>{first, second}));
    EXPECT_EQ(rounds.next_action(start_time), slow_target_action::wait);
}

TEST(slow_target_rounds, no_next_round_without_a_target_that_declined)
{
    slow_target_rounds rounds;
    EXPECT_TRUE(rounds.start_next_round(start_time).empty());
}

TEST(slow_target_rounds, waits_are_bounded_and_then_each_target_decides_once)
{
    slow_target_rounds rounds;
    auto now = start_time;
    rounds.record_decline(first, rounds.next_action(now));
    rounds.record_decline(second, rounds.next_action(now));
    ASSERT_EQ(rounds.start_next_round(now).size(), 2U);
    // waits at one and the other for the end of a slow period
    now += milliseconds(60);
    EXPECT_EQ(rounds.next_action(now), slow_target_action::wait);
    rounds.record_decline(first, rounds.next_action(now));
    now += milliseconds(60);
    rounds.record_decline(second, rounds.next_action(now));
    ASSERT_EQ(rounds.start_next_round(now).size(), 2U);
    now += milliseconds(60);
    EXPECT_EQ(rounds.next_action(now), slow_target_action::start_or_refuse);
    rounds.record_decline(first, rounds.next_action(now));
    rounds.record_decline(second, rounds.next_action(now));
    EXPECT_TRUE(rounds.start_next_round(now).empty());
}

TEST(slow_target_rounds, no_target_waits_once_a_slow_period_has_passed)
{
    slow_target_rounds rounds;
    auto now = start_time;
    rounds.record_decline(first, rounds.next_action(now));
    ASSERT_EQ(rounds.start_next_round(now).size(), 1U);
    now += milliseconds(151);
    EXPECT_EQ(rounds.next_action(now), slow_target_action::start_or_refuse);
}

TEST(slow_target_rounds,
     a_request_among_slow_targets_is_decided_within_its_bound)
{
    // all targets stay slow for seconds; each takes its whole patience
    slow_target_rounds rounds;
    auto now = start_time;
    std::vector<target_id> open{first, second, target_id("t-3")};
    while (!open.empty())
    {
        for (auto const & one : open)
        {
            auto const asked = rounds.next_action(now);
            if (asked == slow_target_action::wait)
            {
                now += milliseconds(60);
            }
            rounds.record_decline(one, asked);
        }
        open = rounds.start_next_round(now);
    }
    EXPECT_LT(now - start_time, milliseconds(250));
}

} // namespace
} // namespace endivehinge

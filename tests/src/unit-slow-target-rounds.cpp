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

TEST(slow_target_rounds, each_target_may_decline_in_the_first_round)
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

TEST(slow_target_rounds, no_further_round_if_no_target_declined)
{
    slow_target_rounds rounds;
    EXPECT_TRUE(rounds.start_next_round(start_time).empty());
}

TEST(slow_target_rounds, each_target_decides_once_after_the_waiting_rounds)
{
    slow_target_rounds rounds;
    auto now = start_time;
    rounds.record_decline(first, rounds.next_action(now));
    rounds.record_decline(second, rounds.next_action(now));
    ASSERT_EQ(rounds.start_next_round(now).size(), 2U);
    // the request waits at both targets for the end of a slow period
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

TEST(slow_target_rounds, no_target_waits_after_a_typical_slow_period)
{
    slow_target_rounds rounds;
    auto now = start_time;
    rounds.record_decline(first, rounds.next_action(now));
    ASSERT_EQ(rounds.start_next_round(now).size(), 1U);
    now += milliseconds(151);
    EXPECT_EQ(rounds.next_action(now), slow_target_action::start_or_refuse);
}

TEST(slow_target_rounds,
     a_request_is_decided_within_250_ms_if_all_targets_stay_slow)
{
    // all targets stay slow for seconds; each uses its full wait limit of 60 ms
    slow_target_rounds rounds;
    auto now = start_time;
    std::vector<target_id> candidates{first, second, target_id("t-3")};
    while (!candidates.empty())
    {
        for (auto const & slow_target : candidates)
        {
            auto const action = rounds.next_action(now);
            if (action == slow_target_action::wait)
            {
                now += milliseconds(60);
            }
            rounds.record_decline(slow_target, action);
        }
        candidates = rounds.start_next_round(now);
    }
    EXPECT_LT(now - start_time, milliseconds(250));
}

} // namespace
} // namespace endivehinge

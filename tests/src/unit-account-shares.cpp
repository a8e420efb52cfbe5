#include <gtest/gtest.h>

#include <absl/strings/str_cat.h> // StrCat

#include <endivehinge/policy/account_backoff.hpp>
#include <endivehinge/policy/account_shares.hpp>
#include <endivehinge/policy/target_admission_policy.hpp>

namespace endivehinge
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

time_point const start_time{seconds(1000)};
weighted_account const large{account_name("large"), 100};
weighted_account const small{account_name("small"), 10};
weighted_account const none;

void run_requests(account_shares & shares,
                  weighted_account const & account,
                  std::size_t count,
                  time_point now)
{
    for (std::size_t i = 0; i < count; ++i)
    {
        shares.record_start(account, milliseconds(100), now);
    }
}

// guards against an order by requests, which favours long ones
TEST(account_shares, charges_the_run_time_in_place_of_the_estimate)
{
    account_shares shares;
    run_requests(shares, large, 20, start_time);
    auto const before = shares.virtual_start(large, 0, start_time);
    shares.record_end(
        large.name, milliseconds(100), milliseconds(600), start_time);
    EXPECT_NEAR(
        shares.virtual_start(large, 0, start_time) - before, 0.005, 1e-9);
}

TEST(account_shares, divides_use_by_weight)
{
    account_shares shares;
    run_requests(shares, large, 101, start_time);
    run_requests(shares, small, 11, start_time);
    EXPECT_NEAR(shares.virtual_start(large, 0, start_time),
                shares.virtual_start(small, 0, start_time),
                1e-9);
    EXPECT_GT(shares.virtual_start(small, 1, start_time),
              shares.virtual_start(large, 1, start_time));
}

// guards against a virtual clock that forgets an account when it pauses
TEST(account_shares, remembers_a_flood_for_seconds)
{
    account_shares shares;
    run_requests(shares, small, 50, start_time);
    run_requests(shares, large, 2, start_time + seconds(1));
    auto const now = start_time + seconds(1);
    EXPECT_TRUE(shares.has_used_share(small, now));
    EXPECT_GT(shares.time_until_share(small, now), seconds(1));
    EXPECT_FALSE(shares.has_used_share(large, now));
    auto const later = start_time + seconds(30);
    run_requests(shares, large, 2, later);
    EXPECT_FALSE(shares.has_used_share(small, later));
    EXPECT_EQ(shares.size(), 1U) << "idle accounts are removed";
}

TEST(account_shares, keeps_a_bounded_number_of_accounts)
{
    account_share_options options;
    options.max_accounts = 10;
    account_shares shares(options);
    run_requests(shares, large, 20, start_time);
    for (int i = 0; i < 1000; ++i)
    {
        run_requests(shares, {account_name(absl::StrCat(i)), 1}, 1, start_time);
    }
    EXPECT_EQ(shares.size(), 10U);
    EXPECT_GT(shares.virtual_start(large, 0, start_time), 0);
}

/// @brief policy with one usable slot, which is in use, and a queue for two
target_admission_policy make_full_policy(weighted_account const & waiting)
{
    target_admission_options options;
    options.max_waiting = 2;
    target_admission_policy policy(options);
    policy.set_slots(1);
    policy.set_open(true);
    for (int i = 0; i < 3; ++i)
    {
        static_cast<void>(policy.offer(
            "route",
            {1, start_time + milliseconds(500), start_time + seconds(2)},
            slow_target_action::wait,
            start_time,
            false,
            waiting));
        static_cast<void>(policy.take_ready(start_time));
    }
    return policy;
}

target_admission_verdict offer(target_admission_policy & policy,
                               weighted_account const & account,
                               std::uint32_t rank)
{
    return policy.offer(
        "route",
        {rank, start_time + milliseconds(500), start_time + seconds(2)},
        slow_target_action::wait,
        start_time,
        false,
        account);
}

// guards against a full queue that refuses whoever comes last
TEST(account_shares, a_full_queue_makes_room_for_an_account_below_its_share)
{
    auto policy = make_full_policy(large);
    EXPECT_EQ(offer(policy, small, 1).decision,
              target_admission_verdict::action::wait);
    auto const displaced = policy.take_ready(start_time);
    ASSERT_EQ(displaced.size(), 1U);
    EXPECT_EQ(displaced[0].decision, target_admission_verdict::action::refuse);
    EXPECT_EQ(displaced[0].reason, admission_refusal::busy);
    EXPECT_EQ(policy.load(start_time).waiting, 2U);
}

TEST(account_shares, nothing_is_displaced_by_its_own_account_or_a_lower_rank)
{
    auto policy = make_full_policy(large);
    EXPECT_EQ(offer(policy, large, 1).decision,
              target_admission_verdict::action::refuse);
    EXPECT_EQ(offer(policy, small, 2).decision,
              target_admission_verdict::action::refuse);
    EXPECT_EQ(offer(policy, none, 1).decision,
              target_admission_verdict::action::refuse);
    EXPECT_TRUE(policy.take_ready(start_time).empty());
    auto without_accounts = make_full_policy(none);
    EXPECT_EQ(offer(without_accounts, small, 1).decision,
              target_admission_verdict::action::refuse);
}

service_name const service("service");

// guards against a back-off for one refusal, and one that never ends
TEST(account_backoff, refuses_an_account_after_several_refusals_for_a_moment)
{
    account_backoff backoff;
    auto now = start_time;
    backoff.record_refusal(service, large.name, 1, seconds(2), now);
    EXPECT_FALSE(backoff.remaining(service, large.name, 1, now));
    backoff.record_refusal(service, large.name, 1, seconds(2), now);
    EXPECT_EQ(backoff.remaining(service, large.name, 1, now),
              milliseconds(250));
    EXPECT_EQ(backoff.remaining(service, large.name, 2, now),
              milliseconds(250));
    EXPECT_FALSE(backoff.remaining(service, large.name, 0, now))
        << "requests of a higher rank were not refused";
    EXPECT_FALSE(backoff.remaining(service, small.name, 1, now));
    now += milliseconds(250);
    EXPECT_FALSE(backoff.remaining(service, large.name, 1, now));
}

TEST(account_backoff, an_account_with_mostly_answers_is_not_refused)
{
    account_backoff backoff;
    backoff.record_refusal(service, large.name, 1, seconds(2), start_time);
    for (int i = 0; i < 5; ++i)
    {
        backoff.record_answer(service, large.name, start_time);
    }
    backoff.record_refusal(service, large.name, 1, seconds(2), start_time);
    EXPECT_FALSE(backoff.remaining(service, large.name, 1, start_time));
}

TEST(account_backoff, keeps_a_bounded_number_of_accounts)
{
    account_backoff_options options;
    options.max_entries = 10;
    account_backoff backoff(options);
    for (int i = 0; i < 100; ++i)
    {
        backoff.record_refusal(service,
                               account_name(absl::StrCat(i)),
                               1,
                               seconds(1),
                               start_time + seconds(i / 10));
    }
    EXPECT_LE(backoff.size(), 10U);
}

} // namespace
} // namespace endivehinge

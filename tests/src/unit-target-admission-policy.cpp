#include <gtest/gtest.h>

#include <utility> // pair
#include <vector>  // vector

#include <endivehinge/policy/target_admission_policy.hpp>

namespace endivehinge
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

time_point const start_time{seconds(1000)};

request_urgency make_urgency(time_point now,
                             duration target = milliseconds(500),
                             duration deadline = milliseconds(2000),
                             std::uint32_t rank = 1)
{
    return {rank, now + target, now + deadline};
}

/// @brief policy of an open target with eight slots
target_admission_policy make_open_policy()
{
    target_admission_policy policy;
    policy.set_slots(8);
    policy.set_open(true);
    return policy;
}

std::size_t
count_started(std::vector<target_admission_verdict> const & verdicts)
{
    std::size_t count = 0;
    for (auto const & result : verdicts)
    {
        count +=
            result.decision == target_admission_verdict::action::start ? 1 : 0;
    }
    return count;
}

/// @brief runs requests of a route until its mean run time has converged
void train_run_time(target_admission_policy & policy,
                    duration run_time,
                    time_point & now)
{
    for (int i = 0; i < 40; ++i)
    {
        auto const ticket =
            policy
                .offer(
                    "route", make_urgency(now), slow_target_action::wait, now)
                .ticket;
        static_cast<void>(policy.take_ready(now));
        now += run_time;
        policy.finish(ticket, false, now);
    }
}

TEST(target_admission_policy, starts_requests_up_to_the_usable_slots)
{
    auto policy = make_open_policy();
    for (int i = 0; i < 20; ++i)
    {
        static_cast<void>(policy.offer("route",
                                       make_urgency(start_time),
                                       slow_target_action::wait,
                                       start_time));
    }
    EXPECT_EQ(count_started(policy.take_ready(start_time)), 8U);
    EXPECT_EQ(policy.load(start_time).waiting, 12U);
}

// A crashing request is found by what was in flight at two crashes. The
// requests that were beside it at the first must not be beside it again.
TEST(target_admission_policy, suspects_run_one_at_a_time_beside_other_requests)
{
    auto policy = make_open_policy();
    auto now = start_time;
    train_run_time(policy, milliseconds(50), now);
    std::vector<admission_ticket> suspects;
    for (int i = 0; i < 3; ++i)
    {
        suspects.push_back(policy
                               .offer("route",
                                      make_urgency(now),
                                      slow_target_action::wait,
                                      now,
                                      true)
                               .ticket);
        static_cast<void>(policy.offer(
            "route", make_urgency(now), slow_target_action::wait, now));
    }
    EXPECT_EQ(count_started(policy.take_ready(now)), 4U);
    policy.finish(suspects[0], false, now);
    EXPECT_EQ(count_started(policy.take_ready(now)), 1U);
}

TEST(target_admission_policy, suspect_is_refused_if_others_take_too_long)
{
    auto policy = make_open_policy();
    auto now = start_time;
    train_run_time(policy, milliseconds(400), now);
    std::size_t refused = 0;
    for (int i = 0; i < 8; ++i)
    {
        auto const verdict = policy.offer("route",
                                          make_urgency(now, milliseconds(1000)),
                                          slow_target_action::wait,
                                          now,
                                          true);
        refused += verdict.decision == target_admission_verdict::action::refuse
                       ? 1
                       : 0;
        static_cast<void>(policy.take_ready(now));
    }
    // three of 400 ms end within the usable share of 2 s
    EXPECT_EQ(refused, 5U);
    EXPECT_EQ(
        policy.offer("route", make_urgency(now), slow_target_action::wait, now)
            .decision,
        target_admission_verdict::action::wait);
}

// A target in need has slots free, but takes a few requests a second.
TEST(target_admission_policy,
     starts_requests_at_the_rate_that_the_target_states)
{
    auto policy = make_open_policy();
    auto now = start_time;
    train_run_time(policy, milliseconds(5), now);
    policy.set_stated_rate(4.0, now);
    std::vector<time_point> starts;
    auto const end = now + seconds(20);
    std::size_t refused = 0;
    for (; now < end; now += milliseconds(10))
    {
        auto const verdict = policy.offer(
            "route", make_urgency(now), slow_target_action::wait, now);
        if (verdict.decision == target_admission_verdict::action::refuse)
        {
            EXPECT_EQ(verdict.reason, admission_refusal::limited);
            refused += 1;
        }
        for (auto const & ready : policy.take_ready(now))
        {
            if (ready.decision == target_admission_verdict::action::start)
            {
                starts.push_back(now);
                policy.finish(ready.ticket, false, now + milliseconds(5));
            }
        }
    }
    EXPECT_GE(starts.size(), 78U);
    EXPECT_GT(refused, 1500U);
    for (std::size_t i = 20; i < starts.size(); ++i)
    {
        // five seconds' worth at the rate and the burst of one second
        EXPECT_GE(starts[i] - starts[i - 20], milliseconds(3900));
    }
    policy.set_stated_rate(std::nullopt, now);
    EXPECT_EQ(policy.load(now).start_delay, duration(0));
}

TEST(target_admission_policy, stated_rate_of_zero_still_starts_a_request)
{
    auto policy = make_open_policy();
    policy.set_stated_rate(0.0, start_time);
    auto const offered =
        policy.offer("route",
                     make_urgency(start_time, seconds(60), seconds(60)),
                     slow_target_action::wait,
                     start_time);
    EXPECT_EQ(offered.decision, target_admission_verdict::action::wait);
    EXPECT_EQ(count_started(policy.take_ready(start_time)), 0U);
    EXPECT_EQ(count_started(policy.take_ready(start_time + seconds(5))), 1U);
}

TEST(target_admission_policy, refuses_new_and_waiting_requests_when_closed)
{
    auto policy = make_open_policy();
    for (int i = 0; i < 9; ++i)
    {
        static_cast<void>(policy.offer("route",
                                       make_urgency(start_time),
                                       slow_target_action::wait,
                                       start_time));
    }
    static_cast<void>(policy.take_ready(start_time));
    policy.set_open(false);
    auto const ready = policy.take_ready(start_time);
    ASSERT_EQ(ready.size(), 1U);
    EXPECT_EQ(ready[0].reason, admission_refusal::closed);
    EXPECT_EQ(policy
                  .offer("route",
                         make_urgency(start_time),
                         slow_target_action::wait,
                         start_time)
                  .reason,
              admission_refusal::closed);
}

TEST(target_admission_policy, starts_the_lowest_rank_first)
{
    auto policy = make_open_policy();
    auto now = start_time;
    std::vector<admission_ticket> running;
    running.reserve(8);
    for (int i = 0; i < 8; ++i)
    {
        running.push_back(
            policy
                .offer(
                    "route", make_urgency(now), slow_target_action::wait, now)
                .ticket);
    }
    static_cast<void>(policy.take_ready(now));
    static_cast<void>(
        policy.offer("late",
                     make_urgency(now, milliseconds(500), seconds(2), 2),
                     slow_target_action::wait,
                     now));
    auto const first =
        policy
            .offer("soon",
                   make_urgency(now, milliseconds(500), seconds(2), 0),
                   slow_target_action::wait,
                   now)
            .ticket;
    policy.finish(running[0], false, now + milliseconds(10));
    auto const ready = policy.take_ready(now + milliseconds(10));
    ASSERT_EQ(count_started(ready), 1U);
    EXPECT_EQ(ready[0].ticket, first);
}

TEST(target_admission_policy, refuses_requests_that_would_miss_the_deadline)
{
    auto policy = make_open_policy();
    auto now = start_time;
    train_run_time(policy, milliseconds(200), now);
    std::size_t refused = 0;
    for (int i = 0; i < 200; ++i)
    {
        auto const verdict =
            policy.offer("route",
                         make_urgency(now, milliseconds(500), seconds(1)),
                         slow_target_action::wait,
                         now);
        static_cast<void>(policy.take_ready(now));
        if (verdict.decision == target_admission_verdict::action::refuse)
        {
            refused += 1;
            EXPECT_EQ(verdict.reason, admission_refusal::busy);
            EXPECT_GT(verdict.retry_after, duration(0));
        }
    }
    // eight requests run, and about twenty more start within the 500 ms that a
    // request may wait
    EXPECT_GT(refused, 160U);
    EXPECT_LT(refused, 185U);
}

TEST(target_admission_policy,
     refuses_a_waiting_request_that_can_no_longer_finish)
{
    auto policy = make_open_policy();
    auto now = start_time;
    train_run_time(policy, milliseconds(200), now);
    for (int i = 0; i < 8; ++i)
    {
        static_cast<void>(policy.offer(
            "route", make_urgency(now), slow_target_action::wait, now));
    }
    static_cast<void>(policy.take_ready(now));
    // a slot seems free in 50 ms, but the running requests take longer
    now += milliseconds(150);
    auto const verdict =
        policy.offer("route",
                     make_urgency(now, milliseconds(300), milliseconds(400)),
                     slow_target_action::wait,
                     now);
    ASSERT_EQ(verdict.decision, target_admission_verdict::action::wait);
    now += milliseconds(201);
    auto const ready = policy.take_ready(now);
    ASSERT_EQ(ready.size(), 1U);
    EXPECT_EQ(ready[0].reason, admission_refusal::too_late);
}

// A cold or slow target leaves a long mean run time. Requests with a shorter
// deadline must still run on it while it is idle, so that the mean recovers.
TEST(target_admission_policy, long_run_times_do_not_block_an_idle_target)
{
    auto policy = make_open_policy();
    auto now = start_time;
    train_run_time(policy, milliseconds(190), now);
    std::size_t started_requests = 0;
    for (int i = 0; i < 100; ++i, now += milliseconds(100))
    {
        auto const verdict =
            policy.offer("route",
                         make_urgency(now, milliseconds(80), milliseconds(180)),
                         slow_target_action::wait,
                         now);
        for (auto const & result : policy.take_ready(now))
        {
            if (result.decision == target_admission_verdict::action::start)
            {
                started_requests += 1;
                policy.finish(result.ticket, false, now + milliseconds(20));
            }
        }
        policy.cancel(verdict.ticket);
    }
    EXPECT_EQ(started_requests, 100U);
}

// twice the request rate that the target can run, for ten seconds
TEST(target_admission_policy, overload_serves_on_time_and_refuses_early)
{
    auto policy = make_open_policy();
    auto now = start_time;
    duration const run_time = milliseconds(100);
    train_run_time(policy, run_time, now);

    struct offer_record
    {
        request_urgency urgency;
        time_point offered_at;
    };

    absl::flat_hash_map<admission_ticket, offer_record> offers;
    std::vector<std::pair<time_point, admission_ticket>> running;
    std::size_t offered = 0;
    std::size_t on_time = 0;
    std::size_t late_refusals = 0;
    auto const end = now + seconds(10);
    // eight slots with a run time of 100 ms serve 80 requests per second; 160
    // arrive
    for (int step = 0; now < end; ++step, now += milliseconds(1))
    {
        for (auto entry = running.begin(); entry != running.end();)
        {
            if (entry->first > now)
            {
                ++entry;
                continue;
            }
            auto const & request = offers.at(entry->second);
            on_time += now <= request.urgency.target_time ? 1 : 0;
            policy.finish(entry->second, false, now);
            entry = running.erase(entry);
        }
        if (step % 25 < 4)
        {
            offered += 1;
            auto const urgency =
                make_urgency(now, milliseconds(400), seconds(2));
            auto const verdict =
                policy.offer("route", urgency, slow_target_action::wait, now);
            offers[verdict.ticket] = {urgency, now};
        }
        for (auto const & verdict : policy.take_ready(now))
        {
            if (verdict.decision == target_admission_verdict::action::start)
            {
                running.emplace_back(now + run_time, verdict.ticket);
            }
            else if (now - offers.at(verdict.ticket).offered_at >
                     milliseconds(400))
            {
                late_refusals += 1;
            }
        }
    }
    // half of the requests can be served, and nearly all of these on time
    EXPECT_GT(on_time, offered * 4 / 10);
    EXPECT_EQ(late_refusals, 0U);
}

// ---------------------------------------------------------------------------
// slowdown of the target for fractions of a second
// ---------------------------------------------------------------------------

TEST(target_admission_policy, probes_before_a_start_if_the_slowdown_is_outdated)
{
    auto policy = make_open_policy();
    policy.set_slowdown(1, start_time);
    auto now = start_time + milliseconds(50);
    static_cast<void>(policy.offer(
        "route", make_urgency(now), slow_target_action::wait, now));
    EXPECT_EQ(count_started(policy.take_ready(now)), 0U);
    EXPECT_TRUE(policy.try_start_probe(now));
    EXPECT_FALSE(policy.try_start_probe(now)) << "one probe at a time";
    now += milliseconds(2);
    policy.set_slowdown(1, now);
    EXPECT_EQ(count_started(policy.take_ready(now)), 1U);
}

TEST(target_admission_policy, starts_requests_if_the_probe_fails)
{
    auto policy = make_open_policy();
    policy.set_slowdown(1, start_time);
    auto const now = start_time + milliseconds(50);
    static_cast<void>(policy.offer(
        "route", make_urgency(now), slow_target_action::wait, now));
    EXPECT_TRUE(policy.try_start_probe(now));
    policy.probe_failed(now + milliseconds(30));
    EXPECT_EQ(count_started(policy.take_ready(now + milliseconds(30))), 1U);
}

TEST(target_admission_policy, declines_while_slow_if_requested)
{
    auto policy = make_open_policy();
    auto now = start_time;
    train_run_time(policy, milliseconds(160), now);
    policy.set_slowdown(5, now);
    static_cast<void>(policy.offer(
        "route", make_urgency(now), slow_target_action::decline, now));
    auto const ready = policy.take_ready(now);
    ASSERT_EQ(ready.size(), 1U);
    EXPECT_EQ(ready[0].reason, admission_refusal::slow);
}

TEST(target_admission_policy, waits_for_the_end_of_a_slow_period_if_faster)
{
    auto policy = make_open_policy();
    auto now = start_time;
    train_run_time(policy, milliseconds(160), now);
    policy.set_slowdown(5, now);
    static_cast<void>(policy.offer(
        "route", make_urgency(now), slow_target_action::wait, now));
    EXPECT_TRUE(policy.take_ready(now).empty());
    ASSERT_TRUE(policy.next_review(now).has_value());
    EXPECT_LE(*policy.next_review(now), now + milliseconds(20));
    now += milliseconds(40);
    policy.set_slowdown(1, now);
    EXPECT_EQ(count_started(policy.take_ready(now)), 1U);
}

TEST(target_admission_policy, declines_a_request_after_the_slow_wait_limit)
{
    auto policy = make_open_policy();
    auto now = start_time;
    train_run_time(policy, milliseconds(160), now);
    policy.set_slowdown(5, now);
    static_cast<void>(policy.offer(
        "route", make_urgency(now), slow_target_action::wait, now));
    now += milliseconds(61);
    policy.set_slowdown(5, now);
    auto const ready = policy.take_ready(now);
    ASSERT_EQ(ready.size(), 1U);
    EXPECT_EQ(ready[0].reason, admission_refusal::slow);
}

TEST(target_admission_policy, starts_while_slow_if_the_target_time_is_met)
{
    auto policy = make_open_policy();
    auto now = start_time;
    train_run_time(policy, milliseconds(40), now);
    policy.set_slowdown(5, now);
    static_cast<void>(policy.offer("route",
                                   make_urgency(now, milliseconds(500)),
                                   slow_target_action::wait,
                                   now));
    EXPECT_EQ(count_started(policy.take_ready(now)), 1U);
}

TEST(target_admission_policy, starts_on_a_target_that_stays_slow)
{
    auto policy = make_open_policy();
    auto now = start_time;
    train_run_time(policy, milliseconds(160), now);
    policy.set_slowdown(5, now);
    now += seconds(2);
    policy.set_slowdown(5, now);
    static_cast<void>(policy.offer(
        "route", make_urgency(now), slow_target_action::wait, now));
    EXPECT_EQ(count_started(policy.take_ready(now)), 1U);
}

TEST(target_admission_policy, slow_run_times_do_not_raise_the_base_run_time)
{
    auto policy = make_open_policy();
    auto now = start_time;
    train_run_time(policy, milliseconds(40), now);
    auto const slow_since = now;
    policy.set_slowdown(12, now);
    // each run time equals the reported slowdown times the base run time
    for (int i = 0; i < 20; ++i)
    {
        auto const ticket = policy
                                .offer("route",
                                       make_urgency(now),
                                       slow_target_action::start_or_refuse,
                                       now)
                                .ticket;
        ASSERT_EQ(count_started(policy.take_ready(now)), 1U);
        now += milliseconds(480);
        policy.finish(ticket, false, now);
        policy.set_slowdown(12, now);
    }
    ASSERT_GT(now - slow_since, seconds(8));
    static_cast<void>(
        policy.offer("route",
                     make_urgency(now, milliseconds(250), milliseconds(700)),
                     slow_target_action::wait,
                     now));
    EXPECT_EQ(count_started(policy.take_ready(now)), 1U)
        << "a request does not wait if the slow period has lasted this long";
}

TEST(target_admission_policy, start_or_refuse_depends_on_the_deadline)
{
    auto policy = make_open_policy();
    auto now = start_time;
    train_run_time(policy, milliseconds(40), now);
    policy.set_slowdown(12, now);
    auto const started_ticket =
        policy
            .offer("route",
                   make_urgency(now, milliseconds(250), milliseconds(700)),
                   slow_target_action::start_or_refuse,
                   now)
            .ticket;
    auto const refused_ticket =
        policy
            .offer("route",
                   make_urgency(now, milliseconds(250), milliseconds(300)),
                   slow_target_action::start_or_refuse,
                   now)
            .ticket;
    auto const ready = policy.take_ready(now);
    ASSERT_EQ(ready.size(), 2U);
    for (auto const & result : ready)
    {
        bool const expects_start = result.ticket == started_ticket;
        EXPECT_EQ(result.decision == target_admission_verdict::action::start,
                  expects_start);
        EXPECT_EQ(result.ticket == refused_ticket, !expects_start);
        EXPECT_EQ(result.reason,
                  expects_start ? admission_refusal::none
                                : admission_refusal::too_late);
    }
}

TEST(target_admission_policy,
     refuses_a_request_that_misses_its_deadline_while_slow)
{
    auto policy = make_open_policy();
    auto now = start_time;
    train_run_time(policy, milliseconds(40), now);
    policy.set_slowdown(12, now);
    now += seconds(2);
    policy.set_slowdown(12, now);
    // neither a start now nor one after the slow period meets the deadline
    static_cast<void>(
        policy.offer("route",
                     make_urgency(now, milliseconds(250), milliseconds(300)),
                     slow_target_action::wait,
                     now));
    auto const ready = policy.take_ready(now);
    ASSERT_EQ(ready.size(), 1U);
    EXPECT_EQ(ready[0].reason, admission_refusal::too_late);
}

TEST(target_admission_policy, limits_the_probe_rate)
{
    auto policy = make_open_policy();
    policy.set_slowdown(1, start_time);
    int probes = 0;
    for (auto now = start_time; now < start_time + seconds(10);
         now += milliseconds(5))
    {
        auto const ticket =
            policy
                .offer(
                    "route", make_urgency(now), slow_target_action::wait, now)
                .ticket;
        static_cast<void>(policy.take_ready(now));
        if (policy.try_start_probe(now))
        {
            probes += 1;
            policy.set_slowdown(1, now);
        }
        static_cast<void>(policy.take_ready(now));
        policy.finish(ticket, false, now);
        policy.cancel(ticket);
    }
    EXPECT_GT(probes, 300);
    // 45 probes per second and a burst of ten
    EXPECT_LE(probes, 460);
}

// ---------------------------------------------------------------------------
// cold targets
// ---------------------------------------------------------------------------

TEST(target_admission_policy, limits_the_rate_of_a_cold_target_in_any_second)
{
    target_admission_policy policy;
    policy.set_slots(1000);
    policy.set_open(true);
    policy.set_cold(start_time + seconds(10), 20, {1.5, 5});
    std::vector<time_point> starts;
    for (auto now = start_time; now < start_time + seconds(10);
         now += milliseconds(2))
    {
        auto const ticket =
            policy
                .offer(
                    "route", make_urgency(now), slow_target_action::wait, now)
                .ticket;
        for (auto const & result : policy.take_ready(now))
        {
            if (result.decision == target_admission_verdict::action::start)
            {
                starts.push_back(now);
                policy.finish(result.ticket, false, now);
            }
        }
        policy.cancel(ticket);
    }
    std::size_t largest_count = 0;
    for (std::size_t first = 0; first < starts.size(); ++first)
    {
        std::size_t last = first;
        while (last < starts.size() &&
               starts[last] - starts[first] < seconds(1))
        {
            ++last;
        }
        largest_count = std::max(largest_count, last - first);
    }
    // requirement: at most 1.5 times the rate plus five
    EXPECT_LE(largest_count, 35U);
    EXPECT_GE(largest_count, 20U);
    // after a restart of the fleet this rate is all the capacity there is
    EXPECT_GE(starts.size(), 315U) << "at least 0.9 of the bound";
}

// Once all processes of a fleet have lost power, every target is cold for
// seconds and takes twice as long. A cold target that declines for being slow
// leaves its requests to others that decline them, too.
TEST(target_admission_policy, a_cold_target_is_not_slow_for_being_cold)
{
    auto policy = make_open_policy();
    policy.set_cold(start_time + seconds(3), 20, {1.5, 5});
    policy.set_slowdown(2, start_time);
    static_cast<void>(policy.offer("route",
                                   make_urgency(start_time),
                                   slow_target_action::decline,
                                   start_time));
    EXPECT_EQ(count_started(policy.take_ready(start_time)), 1U);
    auto now = start_time + milliseconds(5);
    policy.set_slowdown(14, now);
    static_cast<void>(policy.offer(
        "route", make_urgency(now), slow_target_action::decline, now));
    auto const ready = policy.take_ready(now);
    ASSERT_EQ(ready.size(), 1U);
    EXPECT_EQ(ready[0].reason, admission_refusal::slow)
        << "noisy neighbours slow a cold target, too";
}

TEST(target_admission_policy, a_first_report_far_above_a_cold_one_is_slow)
{
    auto policy = make_open_policy();
    policy.set_cold(start_time + seconds(3), 20, {1.5, 5});
    policy.set_slowdown(14, start_time);
    static_cast<void>(policy.offer("route",
                                   make_urgency(start_time),
                                   slow_target_action::decline,
                                   start_time));
    auto const ready = policy.take_ready(start_time);
    ASSERT_EQ(ready.size(), 1U);
    EXPECT_EQ(ready[0].reason, admission_refusal::slow);
}

TEST(target_admission_policy, a_cold_target_publishes_when_it_can_start)
{
    auto policy = make_open_policy();
    policy.set_cold(start_time + seconds(3), 20, {1.5, 5});
    for (int i = 0; i < 4; ++i)
    {
        static_cast<void>(policy.offer("route",
                                       make_urgency(start_time),
                                       slow_target_action::wait,
                                       start_time));
    }
    EXPECT_EQ(count_started(policy.take_ready(start_time)), 4U);
    auto const load = policy.load(start_time);
    EXPECT_GT(load.start_interval, milliseconds(30));
    EXPECT_EQ(load.start_delay, load.start_interval);
    EXPECT_EQ(policy.load(start_time + seconds(4)).start_delay, duration(0));
}

TEST(target_admission_policy, limits_the_queue_of_a_cold_target_by_its_rate)
{
    auto policy = make_open_policy();
    policy.set_cold(start_time + seconds(10), 20, {1.5, 5});
    std::size_t refused = 0;
    for (int i = 0; i < 100; ++i)
    {
        auto const verdict = policy.offer(
            "route",
            make_urgency(start_time, milliseconds(500), seconds(1)),
            slow_target_action::wait,
            start_time);
        static_cast<void>(policy.take_ready(start_time));
        refused += verdict.reason == admission_refusal::cold ? 1 : 0;
    }
    EXPECT_GT(refused, 70U);
}

} // namespace
} // namespace endivehinge

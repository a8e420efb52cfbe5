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

request_urgency urgent(time_point now,
                       duration target = milliseconds(500),
                       duration deadline = milliseconds(2000),
                       std::uint32_t rank = 1)
{
    return {rank, now + target, now + deadline};
}

/// @brief a gate of a target with ten slots, eight of them usable
target_admission_policy open_gate()
{
    target_admission_policy gate;
    gate.set_slots(10);
    gate.set_open(true);
    return gate;
}

std::size_t started(std::vector<target_admission_verdict> const & verdicts)
{
    std::size_t count = 0;
    for (auto const & one : verdicts)
    {
        count +=
            one.decision == target_admission_verdict::action::start ? 1 : 0;
    }
    return count;
}

/// @brief runs requests of a route until their mean run time is known
void teach(target_admission_policy & gate, duration took, time_point & now)
{
    for (int i = 0; i < 40; ++i)
    {
        auto const ticket =
            gate.offer("route", urgent(now), slow_target_action::wait, now)
                .ticket;
        static_cast<void>(gate.take_ready(now));
        now += took;
        gate.finish(ticket, false, now);
    }
}

TEST(target_admission_policy, fills_the_usable_slots_and_no_more)
{
    auto gate = open_gate();
    for (int i = 0; i < 20; ++i)
    {
        static_cast<void>(gate.offer(
            "route", urgent(start_time), slow_target_action::wait, start_time));
    }
    EXPECT_EQ(started(gate.take_ready(start_time)), 8U);
    EXPECT_EQ(gate.load().waiting, 12U);
}

TEST(target_admission_policy, closed_refuses_what_is_offered_and_what_waits)
{
    auto gate = open_gate();
    for (int i = 0; i < 9; ++i)
    {
        static_cast<void>(gate.offer(
            "route", urgent(start_time), slow_target_action::wait, start_time));
    }
    static_cast<void>(gate.take_ready(start_time));
    gate.set_open(false);
    auto const ready = gate.take_ready(start_time);
    ASSERT_EQ(ready.size(), 1U);
    EXPECT_EQ(ready[0].reason, admission_refusal::closed);
    EXPECT_EQ(gate.offer("route",
                         urgent(start_time),
                         slow_target_action::wait,
                         start_time)
                  .reason,
              admission_refusal::closed);
}

TEST(target_admission_policy, the_more_urgent_rank_runs_first)
{
    auto gate = open_gate();
    auto now = start_time;
    std::vector<admission_ticket> running;
    running.reserve(8);
    for (int i = 0; i < 8; ++i)
    {
        running.push_back(
            gate.offer("route", urgent(now), slow_target_action::wait, now)
                .ticket);
    }
    static_cast<void>(gate.take_ready(now));
    static_cast<void>(gate.offer("late",
                                 urgent(now, milliseconds(500), seconds(2), 2),
                                 slow_target_action::wait,
                                 now));
    auto const first = gate.offer("soon",
                                  urgent(now, milliseconds(500), seconds(2), 0),
                                  slow_target_action::wait,
                                  now)
                           .ticket;
    gate.finish(running[0], false, now + milliseconds(10));
    auto const ready = gate.take_ready(now + milliseconds(10));
    ASSERT_EQ(started(ready), 1U);
    EXPECT_EQ(ready[0].ticket, first);
}

TEST(target_admission_policy,
     what_cannot_be_answered_in_time_is_refused_at_once)
{
    auto gate = open_gate();
    auto now = start_time;
    teach(gate, milliseconds(200), now);
    std::size_t refused = 0;
    for (int i = 0; i < 200; ++i)
    {
        auto const verdict =
            gate.offer("route",
                       urgent(now, milliseconds(500), seconds(1)),
                       slow_target_action::wait,
                       now);
        static_cast<void>(gate.take_ready(now));
        if (verdict.decision == target_admission_verdict::action::refuse)
        {
            refused += 1;
            EXPECT_EQ(verdict.reason, admission_refusal::busy);
            EXPECT_GT(verdict.retry_after, duration(0));
        }
    }
    // eight run, and in the 500 ms that waiting may take about twenty start
    EXPECT_GT(refused, 160U);
    EXPECT_LT(refused, 185U);
}

TEST(target_admission_policy, a_waiting_request_that_became_hopeless_is_refused)
{
    auto gate = open_gate();
    auto now = start_time;
    teach(gate, milliseconds(200), now);
    for (int i = 0; i < 8; ++i)
    {
        static_cast<void>(
            gate.offer("route", urgent(now), slow_target_action::wait, now));
    }
    static_cast<void>(gate.take_ready(now));
    static_cast<void>(
        gate.offer("route",
                   urgent(now, milliseconds(300), milliseconds(400)),
                   slow_target_action::wait,
                   now));
    now += milliseconds(201);
    auto const ready = gate.take_ready(now);
    ASSERT_EQ(ready.size(), 1U);
    EXPECT_EQ(ready[0].reason, admission_refusal::too_late);
}

/// @brief a cold or slow target teaches the gate long run times; calls with a
/// short deadline come on
TEST(target_admission_policy,
     run_times_of_a_slow_time_do_not_close_an_idle_target)
{
    auto gate = open_gate();
    auto now = start_time;
    teach(gate, milliseconds(190), now);
    std::size_t ran = 0;
    for (int i = 0; i < 100; ++i, now += milliseconds(100))
    {
        auto const verdict =
            gate.offer("route",
                       urgent(now, milliseconds(80), milliseconds(180)),
                       slow_target_action::wait,
                       now);
        for (auto const & one : gate.take_ready(now))
        {
            if (one.decision == target_admission_verdict::action::start)
            {
                ran += 1;
                gate.finish(one.ticket, false, now + milliseconds(20));
            }
        }
        gate.cancel(verdict.ticket);
    }
    EXPECT_EQ(ran, 100U);
}

/// @brief twice as much work as the target can run, for ten seconds
TEST(target_admission_policy, long_overload_serves_on_time_and_refuses_early)
{
    auto gate = open_gate();
    auto now = start_time;
    duration const work = milliseconds(100);
    teach(gate, work, now);

    struct entry
    {
        request_urgency urgency;
        time_point offered;
    };

    absl::flat_hash_map<admission_ticket, entry> known;
    std::vector<std::pair<time_point, admission_ticket>> ends;
    std::size_t offered = 0;
    std::size_t on_time = 0;
    std::size_t held_long = 0;
    auto const end = now + seconds(10);
    // eight at once take 100 ms: 80 a second; 160 a second come
    for (int step = 0; now < end; ++step, now += milliseconds(1))
    {
        for (auto one = ends.begin(); one != ends.end();)
        {
            if (one->first > now)
            {
                ++one;
                continue;
            }
            auto const & request = known.at(one->second);
            on_time += now <= request.urgency.target_time ? 1 : 0;
            gate.finish(one->second, false, now);
            one = ends.erase(one);
        }
        if (step % 25 < 4)
        {
            offered += 1;
            auto const urgency = urgent(now, milliseconds(400), seconds(2));
            auto const verdict =
                gate.offer("route", urgency, slow_target_action::wait, now);
            known[verdict.ticket] = {urgency, now};
        }
        for (auto const & verdict : gate.take_ready(now))
        {
            if (verdict.decision == target_admission_verdict::action::start)
            {
                ends.emplace_back(now + work, verdict.ticket);
            }
            else if (now - known.at(verdict.ticket).offered > milliseconds(400))
            {
                held_long += 1;
            }
        }
    }
    // half can be served; nearly all of that half is on time
    EXPECT_GT(on_time, offered * 4 / 10);
    EXPECT_EQ(held_long, 0U);
}

// ---------------------------------------------------------------------------
// neighbours that slow the target for fractions of a second
// ---------------------------------------------------------------------------

TEST(target_admission_policy, asks_before_a_start_where_the_slowdown_is_old)
{
    auto gate = open_gate();
    gate.set_slowdown(1, start_time);
    auto now = start_time + milliseconds(50);
    static_cast<void>(
        gate.offer("route", urgent(now), slow_target_action::wait, now));
    EXPECT_EQ(started(gate.take_ready(now)), 0U);
    EXPECT_TRUE(gate.try_start_probe(now));
    EXPECT_FALSE(gate.try_start_probe(now)) << "one probe at a time";
    now += milliseconds(2);
    gate.set_slowdown(1, now);
    EXPECT_EQ(started(gate.take_ready(now)), 1U);
}

TEST(target_admission_policy, starts_without_an_answer_where_the_probe_fails)
{
    auto gate = open_gate();
    gate.set_slowdown(1, start_time);
    auto const now = start_time + milliseconds(50);
    static_cast<void>(
        gate.offer("route", urgent(now), slow_target_action::wait, now));
    EXPECT_TRUE(gate.try_start_probe(now));
    gate.probe_failed(now + milliseconds(30));
    EXPECT_EQ(started(gate.take_ready(now + milliseconds(30))), 1U);
}

TEST(target_admission_policy, declines_while_slow_if_another_target_may_take_it)
{
    auto gate = open_gate();
    auto now = start_time;
    teach(gate, milliseconds(160), now);
    gate.set_slowdown(5, now);
    static_cast<void>(
        gate.offer("route", urgent(now), slow_target_action::decline, now));
    auto const ready = gate.take_ready(now);
    ASSERT_EQ(ready.size(), 1U);
    EXPECT_EQ(ready[0].reason, admission_refusal::slow);
}

TEST(target_admission_policy,
     waits_for_the_end_of_a_slow_period_where_it_is_sooner)
{
    auto gate = open_gate();
    auto now = start_time;
    teach(gate, milliseconds(160), now);
    gate.set_slowdown(5, now);
    static_cast<void>(
        gate.offer("route", urgent(now), slow_target_action::wait, now));
    EXPECT_TRUE(gate.take_ready(now).empty());
    ASSERT_TRUE(gate.next_review(now).has_value());
    EXPECT_LE(*gate.next_review(now), now + milliseconds(20));
    now += milliseconds(40);
    gate.set_slowdown(1, now);
    EXPECT_EQ(started(gate.take_ready(now)), 1U);
}

TEST(target_admission_policy, gives_a_request_back_after_a_short_wait)
{
    auto gate = open_gate();
    auto now = start_time;
    teach(gate, milliseconds(160), now);
    gate.set_slowdown(5, now);
    static_cast<void>(
        gate.offer("route", urgent(now), slow_target_action::wait, now));
    now += milliseconds(61);
    gate.set_slowdown(5, now);
    auto const ready = gate.take_ready(now);
    ASSERT_EQ(ready.size(), 1U);
    EXPECT_EQ(ready[0].reason, admission_refusal::slow);
}

TEST(target_admission_policy, runs_slowly_where_that_ends_on_time_anyway)
{
    auto gate = open_gate();
    auto now = start_time;
    teach(gate, milliseconds(40), now);
    gate.set_slowdown(5, now);
    static_cast<void>(gate.offer("route",
                                 urgent(now, milliseconds(500)),
                                 slow_target_action::wait,
                                 now));
    EXPECT_EQ(started(gate.take_ready(now)), 1U);
}

TEST(target_admission_policy, runs_on_a_target_that_stays_slow)
{
    auto gate = open_gate();
    auto now = start_time;
    teach(gate, milliseconds(160), now);
    gate.set_slowdown(5, now);
    now += seconds(2);
    gate.set_slowdown(5, now);
    static_cast<void>(
        gate.offer("route", urgent(now), slow_target_action::wait, now));
    EXPECT_EQ(started(gate.take_ready(now)), 1U);
}

TEST(target_admission_policy,
     slow_runs_do_not_raise_what_a_start_is_said_to_lose)
{
    auto gate = open_gate();
    auto now = start_time;
    teach(gate, milliseconds(40), now);
    auto const slow_since = now;
    gate.set_slowdown(12, now);
    // runs that take as long as the target states
    for (int i = 0; i < 20; ++i)
    {
        auto const ticket = gate.offer("route",
                                       urgent(now),
                                       slow_target_action::start_or_refuse,
                                       now)
                                .ticket;
        ASSERT_EQ(started(gate.take_ready(now)), 1U);
        now += milliseconds(480);
        gate.finish(ticket, false, now);
        gate.set_slowdown(12, now);
    }
    ASSERT_GT(now - slow_since, seconds(8));
    static_cast<void>(
        gate.offer("route",
                   urgent(now, milliseconds(250), milliseconds(700)),
                   slow_target_action::wait,
                   now));
    EXPECT_EQ(started(gate.take_ready(now)), 1U)
        << "a slow time this long is not waited for";
}

TEST(target_admission_policy,
     decides_at_once_where_the_request_has_waited_enough)
{
    auto gate = open_gate();
    auto now = start_time;
    teach(gate, milliseconds(40), now);
    gate.set_slowdown(12, now);
    auto const runs =
        gate.offer("route",
                   urgent(now, milliseconds(250), milliseconds(700)),
                   slow_target_action::start_or_refuse,
                   now)
            .ticket;
    auto const refused =
        gate.offer("route",
                   urgent(now, milliseconds(250), milliseconds(300)),
                   slow_target_action::start_or_refuse,
                   now)
            .ticket;
    auto const ready = gate.take_ready(now);
    ASSERT_EQ(ready.size(), 2U);
    for (auto const & one : ready)
    {
        bool const expected = one.ticket == runs;
        EXPECT_EQ(one.decision == target_admission_verdict::action::start,
                  expected);
        EXPECT_EQ(one.ticket == refused, !expected);
        EXPECT_EQ(one.reason,
                  expected ? admission_refusal::none
                           : admission_refusal::too_late);
    }
}

TEST(target_admission_policy, does_not_start_what_would_end_after_its_deadline)
{
    auto gate = open_gate();
    auto now = start_time;
    teach(gate, milliseconds(40), now);
    gate.set_slowdown(12, now);
    now += seconds(2);
    gate.set_slowdown(12, now);
    // neither a start now nor one after the slow time can end in time
    static_cast<void>(
        gate.offer("route",
                   urgent(now, milliseconds(250), milliseconds(300)),
                   slow_target_action::wait,
                   now));
    auto const ready = gate.take_ready(now);
    ASSERT_EQ(ready.size(), 1U);
    EXPECT_EQ(ready[0].reason, admission_refusal::too_late);
}

TEST(target_admission_policy, probes_stay_within_their_rate)
{
    auto gate = open_gate();
    gate.set_slowdown(1, start_time);
    int probes = 0;
    for (auto now = start_time; now < start_time + seconds(10);
         now += milliseconds(5))
    {
        auto const ticket =
            gate.offer("route", urgent(now), slow_target_action::wait, now)
                .ticket;
        static_cast<void>(gate.take_ready(now));
        if (gate.try_start_probe(now))
        {
            probes += 1;
            gate.set_slowdown(1, now);
        }
        static_cast<void>(gate.take_ready(now));
        gate.finish(ticket, false, now);
        gate.cancel(ticket);
    }
    EXPECT_GT(probes, 300);
    // 45 a second and ten at once
    EXPECT_LE(probes, 460);
}

// ---------------------------------------------------------------------------
// a cold target
// ---------------------------------------------------------------------------

TEST(target_admission_policy, a_cold_target_gets_its_rate_in_any_second)
{
    target_admission_policy gate;
    gate.set_slots(1000);
    gate.set_open(true);
    gate.set_cold(start_time + seconds(10), 20);
    std::vector<time_point> starts;
    for (auto now = start_time; now < start_time + seconds(10);
         now += milliseconds(2))
    {
        auto const ticket =
            gate.offer("route", urgent(now), slow_target_action::wait, now)
                .ticket;
        for (auto const & one : gate.take_ready(now))
        {
            if (one.decision == target_admission_verdict::action::start)
            {
                starts.push_back(now);
                gate.finish(one.ticket, false, now);
            }
        }
        gate.cancel(ticket);
    }
    std::size_t most = 0;
    for (std::size_t first = 0; first < starts.size(); ++first)
    {
        std::size_t last = first;
        while (last < starts.size() &&
               starts[last] - starts[first] < seconds(1))
        {
            ++last;
        }
        most = std::max(most, last - first);
    }
    // the users' bound is 1.5 times the rate and five
    EXPECT_LE(most, 35U);
    EXPECT_GE(most, 20U);
}

TEST(target_admission_policy, the_queue_of_a_cold_target_is_bounded_by_its_rate)
{
    auto gate = open_gate();
    gate.set_cold(start_time + seconds(10), 20);
    std::size_t refused = 0;
    for (int i = 0; i < 100; ++i)
    {
        auto const verdict =
            gate.offer("route",
                       urgent(start_time, milliseconds(500), seconds(1)),
                       slow_target_action::wait,
                       start_time);
        static_cast<void>(gate.take_ready(start_time));
        refused += verdict.reason == admission_refusal::cold ? 1 : 0;
    }
    EXPECT_GT(refused, 70U);
}

} // namespace
} // namespace endivehinge

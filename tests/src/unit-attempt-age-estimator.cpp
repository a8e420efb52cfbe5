#include <map>    // map, multimap
#include <random> // mt19937, uniform_int_distribution

#include <gtest/gtest.h>

#include <endivehinge/policy/attempt_age_estimator.hpp>
#include <endivehinge/policy/target_admission_policy.hpp>

namespace endivehinge
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

time_point const start_time{seconds(1000)};

/// @brief records first attempts whose clients state 1,000 to 1,200 ms
void learn(attempt_age_estimator & estimator)
{
    for (int i = 0; i < 20; ++i)
    {
        estimator.record_arrival("route",
                                 milliseconds(1000 + 10 * i),
                                 start_time + milliseconds(50 * i));
    }
}

TEST(attempt_age_estimator, a_returning_request_is_as_old_as_its_client_says)
{
    attempt_age_estimator estimator;
    EXPECT_EQ(estimator.age("route", milliseconds(500)), duration(0));
    learn(estimator);
    EXPECT_EQ(estimator.age("route", milliseconds(1000)), duration(0));
    EXPECT_EQ(estimator.age("route", milliseconds(500)), milliseconds(600));
    EXPECT_EQ(estimator.age("other", milliseconds(500)), duration(0));
}

TEST(attempt_age_estimator, learns_nothing_from_requests_that_may_return)
{
    attempt_age_estimator estimator;
    learn(estimator);
    auto const now = start_time + seconds(2);
    estimator.record_refusal("route", now);
    for (int i = 0; i < 40; ++i)
    {
        estimator.record_arrival(
            "route", milliseconds(400), now + milliseconds(40 * i));
    }
    EXPECT_EQ(estimator.age("route", milliseconds(500)), milliseconds(600));
}

// Some clients of a route wait for a second, others for 300 ms, and some state
// an hour.
TEST(attempt_age_estimator, estimates_nothing_where_clients_differ)
{
    attempt_age_estimator estimator;
    for (int i = 0; i < 40; ++i)
    {
        estimator.record_arrival("route",
                                 i % 3 == 0 ? milliseconds(300)
                                            : milliseconds(1000),
                                 start_time);
    }
    EXPECT_EQ(estimator.age("route", milliseconds(300)), duration(0));
    estimator.record_arrival("route", std::chrono::hours(1), start_time);
    EXPECT_EQ(estimator.age("route", milliseconds(1000)), duration(0));
}

/// @brief overload for five seconds: 60 requests a second of 200 to 300 ms for
/// a target with ten slots; refused ones return once, after 250 to 375 ms
/// @return number of requests answered within 600 ms of the first attempt
int replay_overload(bool is_age_known)
{
    struct client_request
    {
        time_point first_attempt;
        int attempts = 1;
    };

    constexpr duration latency_target = milliseconds(600);
    constexpr duration client_time = milliseconds(1200);
    std::mt19937 generator(7);
    auto const random_ms = [&generator](int from, int to)
    {
        return milliseconds(
            std::uniform_int_distribution<int>(from, to)(generator));
    };
    attempt_age_estimator estimator;
    learn(estimator);
    target_admission_policy policy;
    policy.set_slots(10);
    policy.set_open(true);
    std::multimap<time_point, client_request> arrivals;
    for (int i = 0; i < 300; ++i)
    {
        auto const at = start_time + random_ms(0, 5000);
        arrivals.insert({at, {at}});
    }
    std::map<admission_ticket, client_request> waiting;
    std::multimap<time_point, admission_ticket> ends;
    std::map<admission_ticket, client_request> running;
    int on_time = 0;
    for (auto now = start_time; now < start_time + seconds(8);
         now += milliseconds(5))
    {
        auto const refuse = [&](client_request request)
        {
            if (request.attempts++ == 1)
            {
                arrivals.insert({now + random_ms(250, 375), request});
            }
        };
        while (!ends.empty() && ends.begin()->first <= now)
        {
            auto const ticket = ends.begin()->second;
            policy.finish(ticket, false, now);
            on_time += now - running.at(ticket).first_attempt <= latency_target
                           ? 1
                           : 0;
            ends.erase(ends.begin());
        }
        while (!arrivals.empty() && arrivals.begin()->first <= now)
        {
            auto const request = arrivals.begin()->second;
            arrivals.erase(arrivals.begin());
            auto const left = request.first_attempt + client_time - now;
            auto const age =
                is_age_known ? estimator.age("route", left) : duration(0);
            auto const verdict =
                policy.offer("route",
                             {2, now + latency_target - age, now + left},
                             slow_target_action::wait,
                             now);
            if (verdict.decision == target_admission_verdict::action::wait)
            {
                waiting[verdict.ticket] = request;
            }
            else
            {
                refuse(request);
            }
        }
        for (auto const & verdict : policy.take_ready(now))
        {
            auto const request = waiting.at(verdict.ticket);
            waiting.erase(verdict.ticket);
            if (verdict.decision == target_admission_verdict::action::start)
            {
                running[verdict.ticket] = request;
                ends.insert({now + random_ms(200, 300), verdict.ticket});
            }
            else
            {
                refuse(request);
            }
        }
    }
    return on_time;
}

TEST(attempt_age_estimator, late_returns_do_not_delay_requests_under_overload)
{
    // the target can run 200 requests in the five seconds
    EXPECT_GE(replay_overload(true), 180);
    EXPECT_LT(replay_overload(false), 180);
}

} // namespace
} // namespace endivehinge

#include <gtest/gtest.h>

#include <random> // mt19937_64, lognormal_distribution

#include <endivehinge/policy/hedge_policy.hpp>

namespace endivehinge
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

time_point const start_time{seconds(1000)};
service_name const service("service");

service_route make_route()
{
    service_route route;
    route.name = "route";
    route.idempotent = true;
    route.latency_target = milliseconds(800);
    return route;
}

hedge_policy make_policy(double share = 0.1)
{
    hedge_options options;
    options.share = share;
    return hedge_policy(options);
}

hedge_limit check(hedge_policy const & policy,
                  service_route const & route,
                  time_point now = start_time,
                  duration time_left = seconds(1))
{
    return policy.check(route, service, time_left, milliseconds(100), now);
}

// guards against hedges of most requests, which double the load
TEST(hedge_policy, delay_follows_a_high_quantile_of_the_route)
{
    auto policy = make_policy();
    auto const route = make_route();
    std::mt19937_64 random(1);
    std::lognormal_distribution<double> milliseconds_taken(4, 0.5);
    std::size_t longer = 0;
    for (int scale : {1, 3, 1})
    {
        longer = 0;
        for (int i = 0; i < 5000; ++i)
        {
            auto const taken = std::chrono::duration_cast<duration>(
                std::chrono::duration<double, std::milli>(
                    milliseconds_taken(random) * scale));
            bool const counted = i >= 3000;
            longer += counted && taken > *policy.delay(route) ? 1 : 0;
            policy.record_response_time(route, taken);
        }
        EXPECT_GT(longer, 40U) << "2 to 8 of 100";
        EXPECT_LT(longer, 160U);
    }
}

TEST(hedge_policy, no_delay_before_the_route_is_known_or_where_hedges_are_off)
{
    auto policy = make_policy();
    auto off = make_policy(0);
    auto const route = make_route();
    for (int i = 0; i < 19; ++i)
    {
        policy.record_response_time(route, milliseconds(10));
        off.record_response_time(route, milliseconds(10));
    }
    EXPECT_FALSE(policy.delay(route));
    policy.record_response_time(route, milliseconds(50));
    off.record_response_time(route, milliseconds(50));
    EXPECT_EQ(policy.delay(route), milliseconds(50));
    EXPECT_FALSE(off.delay(route));
    auto unsafe = route;
    unsafe.idempotent = false;
    EXPECT_FALSE(policy.delay(unsafe));
    auto nested = route;
    nested.latency_target = milliseconds(200);
    EXPECT_FALSE(policy.delay(nested));
}

// a fifth of 1,000 requests is slow: without the bucket, 200 are sent twice
TEST(hedge_policy, hedges_no_more_than_the_share)
{
    auto policy = make_policy(0.05);
    auto const route = make_route();
    std::size_t hedged = 0;
    for (int i = 0; i < 1000; ++i)
    {
        policy.record_request();
        if (i % 5 == 0 && check(policy, route) == hedge_limit::none)
        {
            policy.record_hedge();
            ++hedged;
        }
    }
    EXPECT_GE(hedged, 45U);
    EXPECT_LE(hedged, 50U);
    EXPECT_EQ(check(make_policy(0), route), hedge_limit::share);
}

TEST(hedge_policy, checks_route_overload_and_time_left)
{
    auto policy = make_policy(1);
    policy.record_request();
    auto const route = make_route();
    EXPECT_EQ(check(policy, route), hedge_limit::none);
    auto unsafe = route;
    unsafe.idempotent = false;
    EXPECT_EQ(check(policy, unsafe), hedge_limit::not_repeatable);
    auto nested = route;
    nested.latency_target = milliseconds(200);
    EXPECT_EQ(check(policy, nested), hedge_limit::short_target);
    EXPECT_EQ(check(policy, route, start_time, milliseconds(90)),
              hedge_limit::time_left);
    policy.record_overload(service, start_time);
    EXPECT_EQ(check(policy, route, start_time + milliseconds(999)),
              hedge_limit::overload);
    EXPECT_EQ(check(policy, route, start_time + seconds(1)), hedge_limit::none);
}

TEST(hedge_policy, only_a_fresh_load_shows_room)
{
    auto const policy = make_policy();
    target_candidate candidate;
    EXPECT_FALSE(policy.has_room(candidate));
    candidate.load = target_load();
    candidate.load->limit = 4;
    candidate.load->running = 3;
    EXPECT_TRUE(policy.has_room(candidate));
    auto const expect_no_room = [&](auto const & change)
    {
        auto changed = candidate;
        change(changed);
        EXPECT_FALSE(policy.has_room(changed));
    };
    expect_no_room(
        [](auto & c)
        {
            c.load_age = seconds(3);
        });
    expect_no_room(
        [](auto & c)
        {
            c.sent_since = 1;
        });
    expect_no_room(
        [](auto & c)
        {
            c.load->waiting = 1;
        });
    expect_no_room(
        [](auto & c)
        {
            c.load->closed = true;
        });
    expect_no_room(
        [](auto & c)
        {
            c.load->slowdown = 3;
        });
    expect_no_room(
        [](auto & c)
        {
            c.load->start_delay = milliseconds(9);
        });
}

} // namespace
} // namespace endivehinge

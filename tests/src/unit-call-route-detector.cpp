#include <gtest/gtest.h>

#include <endivehinge/policy/call_route_detector.hpp>

namespace endivehinge
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

time_point const start_time{seconds(1000)};

// A called service has no room: each refused call fails the run that made it.
TEST(call_route_detector, refusals_that_fail_runs_are_those_of_calls)
{
    call_route_detector detector;
    auto now = start_time;
    EXPECT_FALSE(detector.is_call("seats"));
    for (int i = 0; i < 4; ++i, now += milliseconds(50))
    {
        detector.record_refusal("seats", now);
        detector.record_failed_run(now + milliseconds(1));
    }
    EXPECT_TRUE(detector.is_call("seats"));
}

// Two calls of one run are refused at the same time.
TEST(call_route_detector, one_failed_run_explains_all_its_calls)
{
    call_route_detector detector;
    for (int i = 0; i < 3; ++i)
    {
        auto const now = start_time + i * milliseconds(50);
        detector.record_refusal("seats", now);
        detector.record_refusal("seats", now);
        detector.record_failed_run(now + milliseconds(1));
    }
    EXPECT_TRUE(detector.is_call("seats"));
}

// Clients are refused as well, while the target fails runs by itself: 60
// refusals and 40 failed runs a second, at any time.
TEST(call_route_detector, refusals_of_clients_are_told_apart)
{
    call_route_detector detector;
    for (int i = 0; i < 600; ++i)
    {
        auto const now = start_time + i * milliseconds(5);
        if (i % 3 == 0)
        {
            detector.record_refusal("browse", now);
        }
        if (i % 5 == 2)
        {
            detector.record_failed_run(now + milliseconds(2));
        }
        EXPECT_FALSE(detector.is_call("browse")) << i;
    }
}

TEST(call_route_detector, follows_a_target_that_needs_its_calls_no_longer)
{
    call_route_detector detector;
    auto now = start_time;
    for (int i = 0; i < 64; ++i, now += milliseconds(50))
    {
        detector.record_refusal("seats", now);
        detector.record_failed_run(now + milliseconds(1));
    }
    EXPECT_TRUE(detector.is_call("seats"));
    for (int i = 0; i < 64; ++i, now += milliseconds(50))
    {
        detector.record_refusal("seats", now);
    }
    EXPECT_FALSE(detector.is_call("seats"));
}

} // namespace
} // namespace endivehinge

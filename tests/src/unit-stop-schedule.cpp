#include <gtest/gtest.h>

#include <endivehinge/policy/stop_schedule.hpp>

namespace endivehinge
{
namespace
{

using std::chrono::seconds;

time_point const start_time{seconds(1000)};
stop_schedule const schedule{start_time + seconds(2), start_time + seconds(6)};
request_urgency const long_request{
    1, start_time + seconds(4), start_time + seconds(9)};

TEST(stop_schedule, requests_that_end_in_time_are_accepted_until_the_drain)
{
    request_urgency const request{
        1, start_time + seconds(1), start_time + seconds(5)};
    EXPECT_TRUE(schedule.accepts(request, false, start_time));
    EXPECT_FALSE(schedule.accepts(request, false, start_time + seconds(2)));
    EXPECT_FALSE(schedule.accepts(request, true, start_time + seconds(2)));
}

TEST(stop_schedule, a_request_that_may_outlive_the_process_must_be_repeatable)
{
    EXPECT_TRUE(schedule.accepts(long_request, true, start_time));
    EXPECT_FALSE(schedule.accepts(long_request, false, start_time));
}

} // namespace
} // namespace endivehinge

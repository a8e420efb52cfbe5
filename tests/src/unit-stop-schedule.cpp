#include <gtest/gtest.h>

#include <endivehinge/policy/stop_schedule.hpp>

namespace endivehinge
{
namespace
{

using std::chrono::seconds;

time_point const start_time{seconds(1000)};
stop_schedule const schedule{start_time + seconds(2),
                             start_time + seconds(6),
                             start_time + seconds(3),
                             start_time + seconds(6)};
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

TEST(stop_schedule, a_client_is_accepted_if_it_waits_no_longer_than_the_node)
{
    EXPECT_TRUE(schedule.accepts_from_client(
        start_time + seconds(6), seconds(9), start_time + seconds(5)));
    EXPECT_FALSE(schedule.accepts_from_client(
        start_time + seconds(7), seconds(1), start_time + seconds(3)));
}

TEST(stop_schedule, a_request_that_usually_outlives_the_node_is_not_accepted)
{
    EXPECT_TRUE(schedule.accepts_from_client(
        start_time + seconds(9), seconds(2), start_time + seconds(2)));
    EXPECT_FALSE(schedule.accepts_from_client(
        start_time + seconds(9), seconds(3), start_time + seconds(2)));
}

TEST(stop_schedule, a_waiting_request_that_cannot_complete_is_not_kept)
{
    EXPECT_TRUE(schedule.can_complete(seconds(1), start_time + seconds(5)));
    EXPECT_FALSE(schedule.can_complete(seconds(2), start_time + seconds(5)));
}

TEST(stop_schedule, requests_in_progress_are_answered_before_the_process_ends)
{
    auto const begun = stop_schedule::begin(start_time, seconds(6));
    EXPECT_LT(begun.drain_start, begun.notice_end);
    EXPECT_LT(begun.notice_end, begun.conclusion);
    EXPECT_LT(begun.conclusion, begun.deadline);
    EXPECT_LT(begun.deadline, start_time + seconds(6));
    // a request that runs longer than a sixth before the end may be cut
    EXPECT_GE(begun.conclusion, start_time + seconds(5));
}

} // namespace
} // namespace endivehinge

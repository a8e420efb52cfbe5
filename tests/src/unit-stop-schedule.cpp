#include <algorithm> // min

#include <gtest/gtest.h>

#include <endivehinge/policy/stop_schedule.hpp>

namespace endivehinge
{
namespace
{

using std::chrono::milliseconds;
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

/// @brief grace times that a platform may set
class grace_times : public ::testing::TestWithParam<int>
{
protected:
    [[nodiscard]] static duration grace()
    {
        return milliseconds(GetParam());
    }

    stop_schedule const begun = stop_schedule::begin(start_time, grace());
};

// A longer grace time moved the end of the notice, so that requests were
// accepted by their mean run time when clients had long learned of the stop.
TEST_P(grace_times, what_comes_after_the_notice_ends_in_time_in_the_worst_case)
{
    for (auto sent = milliseconds(3000); sent < grace();
         sent += milliseconds(70))
    {
        for (auto limit = milliseconds(100); limit < seconds(40);
             limit += milliseconds(130))
        {
            for (auto const mean : {milliseconds(1), milliseconds(900)})
            {
                auto const now = start_time + sent;
                bool const ends_in_time = now + limit <= this->begun.conclusion;
                EXPECT_EQ(
                    this->begun.accepts_from_client(now + limit, mean, now),
                    ends_in_time)
                    << sent.count() << " " << limit.count();
            }
        }
    }
}

// A node that refuses from the signal on takes its target away. With a short
// grace time that is not avoided: what is accepted would be broken off.
TEST_P(grace_times, clients_are_accepted_until_they_have_learned_of_the_stop)
{
    auto const end =
        std::min<duration>(milliseconds(2800), grace() - milliseconds(3200));
    for (auto sent = milliseconds(0); sent < end; sent += milliseconds(70))
    {
        auto const now = start_time + sent;
        EXPECT_TRUE(this->begun.accepts_from_client(
            now + seconds(60), milliseconds(10), now));
    }
}

// What is broken off at the conclusion is excused only in the last sixth of the
// grace time.
TEST_P(grace_times, requests_are_broken_off_in_the_last_sixth_only)
{
    EXPECT_GE(this->begun.conclusion, start_time + grace() * 5 / 6);
    EXPECT_LT(this->begun.conclusion, this->begun.deadline);
    EXPECT_LT(this->begun.deadline, start_time + grace());
}

INSTANTIATE_TEST_SUITE_P(
    milliseconds,
    grace_times,
    ::testing::Values(
        300, 1000, 2000, 3000, 4000, 6000, 8000, 10000, 15000, 30000, 60000));

} // namespace
} // namespace endivehinge

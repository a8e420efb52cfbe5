#include <gtest/gtest.h>

#include <endivehinge/policy/crash_evidence.hpp>

namespace endivehinge
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

time_point const start(seconds(1000));

lost_request make_lost(std::uint64_t fingerprint,
                       bool isolated,
                       duration started,
                       duration lost)
{
    return {request_fingerprint(fingerprint),
            isolated,
            start + started,
            start + lost};
}

TEST(crash_evidence, requests_are_taken_once)
{
    crash_evidence evidence;
    evidence.add(make_lost(1, false, seconds(0), seconds(1)));
    evidence.add(make_lost(2, true, seconds(0), seconds(1)));
    auto const taken = evidence.take(start + seconds(2));
    ASSERT_EQ(taken.size(), 2U);
    EXPECT_EQ(taken[0].fingerprint, request_fingerprint(1));
    EXPECT_TRUE(taken[1].isolated);
    EXPECT_TRUE(evidence.take(start + seconds(2)).empty());
}

// A connection that was reset long before the target ended is no evidence.
TEST(crash_evidence, old_losses_are_not_attributed_to_a_crash)
{
    crash_evidence evidence;
    evidence.add(make_lost(1, false, seconds(0), seconds(0)));
    evidence.add(make_lost(2, false, seconds(8), seconds(9)));
    auto const taken = evidence.take(start + seconds(10));
    ASSERT_EQ(taken.size(), 1U);
    EXPECT_EQ(taken[0].fingerprint, request_fingerprint(2));
    evidence.add(make_lost(3, false, seconds(10), seconds(10)));
    EXPECT_TRUE(evidence.take(start + seconds(14)).empty());
}

// Until its next incarnation reports, a crashed target may seem to take
// requests, for example behind a proxy.
TEST(crash_evidence, requests_sent_after_the_first_loss_were_not_in_flight)
{
    crash_evidence evidence;
    evidence.add(make_lost(1, false, seconds(0), seconds(1)));
    evidence.add(make_lost(2, false, milliseconds(1500), seconds(2)));
    EXPECT_EQ(evidence.take(start + seconds(2)).size(), 1U);
}

TEST(crash_evidence, losses_are_discarded_if_the_target_still_runs)
{
    crash_evidence evidence;
    evidence.add(make_lost(1, false, seconds(0), seconds(1)));
    evidence.clear();
    EXPECT_TRUE(evidence.take(start + seconds(1)).empty());
}

TEST(crash_evidence, size_is_limited)
{
    crash_evidence evidence;
    for (std::uint64_t i = 0; i < 1000; ++i)
    {
        evidence.add(make_lost(i, false, seconds(0), seconds(0)));
    }
    EXPECT_LE(evidence.take(start).size(), 256U);
}

} // namespace
} // namespace endivehinge

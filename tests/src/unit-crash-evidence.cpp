#include <gtest/gtest.h>

#include <endivehinge/policy/crash_evidence.hpp>

namespace endivehinge
{
namespace
{

using std::chrono::seconds;

time_point const start(seconds(1000));

TEST(crash_evidence, requests_are_taken_once)
{
    crash_evidence evidence;
    evidence.add({request_fingerprint(1), false, start});
    evidence.add({request_fingerprint(2), true, start});
    auto const taken = evidence.take(start + seconds(1));
    ASSERT_EQ(taken.size(), 2U);
    EXPECT_EQ(taken[0].fingerprint, request_fingerprint(1));
    EXPECT_TRUE(taken[1].isolated);
    EXPECT_TRUE(evidence.take(start + seconds(1)).empty());
}

// A connection that was reset long before the target ended is no evidence.
TEST(crash_evidence, old_losses_are_not_attributed_to_a_crash)
{
    crash_evidence evidence;
    evidence.add({request_fingerprint(1), false, start});
    evidence.add({request_fingerprint(2), false, start + seconds(9)});
    auto const taken = evidence.take(start + seconds(10));
    ASSERT_EQ(taken.size(), 1U);
    EXPECT_EQ(taken[0].fingerprint, request_fingerprint(2));
}

TEST(crash_evidence, size_is_limited)
{
    crash_evidence evidence;
    for (std::uint64_t i = 0; i < 1000; ++i)
    {
        evidence.add({request_fingerprint(i), false, start});
    }
    EXPECT_LE(evidence.take(start).size(), 256U);
}

} // namespace
} // namespace endivehinge

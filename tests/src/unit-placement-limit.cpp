#include <gtest/gtest.h>

#include <endivehinge/policy/placement_limit.hpp>

namespace endivehinge
{
namespace
{

using std::chrono::milliseconds;

time_point const start_time{std::chrono::seconds(1000)};
request_urgency const urgency{
    1, start_time + milliseconds(500), start_time + milliseconds(2000)};

std::uint32_t count_placements(admission_refusal reason)
{
    placement_limit limit(start_time, milliseconds(200));
    std::uint32_t count = 0;
    while (limit.allows_placement(urgency, start_time) && count < 100)
    {
        limit.record_placement();
        limit.record_refusal(reason);
        count += 1;
    }
    return count;
}

TEST(placement_limit, few_targets_without_capacity_are_tried)
{
    EXPECT_EQ(count_placements(admission_refusal::cold), 4U);
    EXPECT_EQ(count_placements(admission_refusal::busy), 4U);
    EXPECT_EQ(count_placements(admission_refusal::too_late), 4U);
}

TEST(placement_limit, outdated_entries_do_not_use_up_the_capacity_refusals)
{
    EXPECT_EQ(count_placements(admission_refusal::other_incarnation), 24U);
    EXPECT_EQ(count_placements(admission_refusal::closed), 24U);
}

TEST(placement_limit, a_refused_request_that_would_be_late_is_not_placed_again)
{
    placement_limit limit(start_time, milliseconds(200));
    auto const late = start_time + milliseconds(301);
    EXPECT_TRUE(limit.allows_placement(urgency, late));
    limit.record_refusal(admission_refusal::slow);
    EXPECT_TRUE(limit.allows_placement(urgency, late));
    limit.record_refusal(admission_refusal::busy);
    EXPECT_TRUE(limit.allows_placement(urgency, start_time));
    EXPECT_FALSE(limit.allows_placement(urgency, late));
}

TEST(placement_limit, a_request_longer_than_its_target_time_may_be_late)
{
    placement_limit limit(start_time, milliseconds(600));
    limit.record_refusal(admission_refusal::busy);
    EXPECT_TRUE(
        limit.allows_placement(urgency, start_time + milliseconds(100)));
}

} // namespace
} // namespace endivehinge

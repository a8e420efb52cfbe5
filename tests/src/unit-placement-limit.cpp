#include <gtest/gtest.h>

#include <endivehinge/policy/placement_limit.hpp>

namespace endivehinge
{
namespace
{

std::uint32_t count_placements(admission_refusal reason)
{
    placement_limit limit;
    std::uint32_t count = 0;
    while (limit.allows_placement() && count < 100)
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

} // namespace
} // namespace endivehinge

#include <gtest/gtest.h>

#include <algorithm> // max
#include <sstream>   // ostringstream

#include <endivehinge/core/ids.hpp>

namespace endivehinge
{
namespace
{

TEST(object_version, lower_revision_of_a_newer_era_is_newer)
{
    object_version const old_history(store_era(1), 500);
    object_version const restored(store_era(2), 480);
    EXPECT_LT(old_history, restored);
    EXPECT_GT(restored, old_history);
    EXPECT_GE(restored, old_history);
    EXPECT_EQ(std::max(old_history, restored), restored);
}

TEST(object_version, revisions_order_positions_of_one_era)
{
    EXPECT_LT(object_version(store_era(2), 4), object_version(store_era(2), 5));
    EXPECT_LE(object_version(store_era(2), 5), object_version(store_era(2), 5));
}

TEST(object_version, equal_revisions_of_two_eras_are_different)
{
    EXPECT_NE(object_version(store_era(1), 5), object_version(store_era(2), 5));
    EXPECT_EQ(object_version(store_era(2), 5), object_version(store_era(2), 5));
}

TEST(object_version, position_without_era_never_replaces_one_with_era)
{
    EXPECT_LT(object_version(1ULL << 60U), object_version(store_era(1), 0));
    EXPECT_EQ(object_version(7), object_version(store_era(), 7));
}

TEST(object_version, log_text_names_a_known_era)
{
    std::ostringstream text;
    text << object_version(7) << ' ' << object_version(store_era(3), 7);
    EXPECT_EQ(text.str(), "7 3.7");
}

} // namespace
} // namespace endivehinge

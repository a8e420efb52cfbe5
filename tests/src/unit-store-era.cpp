#include <gtest/gtest.h>

#include <endivehinge/coordination/store_era_tracker.hpp>

namespace endivehinge
{
namespace
{

TEST(store_era_tracker, first_era_is_no_restore)
{
    store_era_tracker tracker;
    EXPECT_EQ(tracker.newest(), store_era());
    EXPECT_EQ(tracker.note(store_era(7)), era_change::same);
    EXPECT_EQ(tracker.newest(), store_era(7));
}

TEST(store_era_tracker, each_rise_is_told_once)
{
    store_era_tracker tracker;
    tracker.note(store_era(7));
    EXPECT_EQ(tracker.note(store_era(8)), era_change::rose);
    EXPECT_EQ(tracker.note(store_era(8)), era_change::same);
    EXPECT_EQ(tracker.note(store_era(10)), era_change::rose);
    EXPECT_EQ(tracker.newest(), store_era(10));
}

TEST(store_era_tracker, late_answer_of_an_earlier_era_does_not_lower_it)
{
    store_era_tracker tracker;
    tracker.note(store_era(7));
    tracker.note(store_era(8));
    EXPECT_EQ(tracker.note(store_era(7)), era_change::earlier);
    EXPECT_EQ(tracker.newest(), store_era(8));
}

TEST(store_era_tracker, unknown_era_changes_nothing)
{
    store_era_tracker tracker;
    tracker.note(store_era(7));
    EXPECT_EQ(tracker.note(store_era()), era_change::same);
    EXPECT_EQ(tracker.newest(), store_era(7));
}

} // namespace
} // namespace endivehinge

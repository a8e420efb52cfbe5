#include <gtest/gtest.h>

#include <endivehinge/coordination/restored_list_merge.hpp>

namespace endivehinge
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t ready = 1;
constexpr std::uint64_t draining = 2;
constexpr std::uint64_t first_incarnation = 10;
constexpr std::uint64_t second_incarnation = 11;

object_digest before_restore(std::uint64_t revision,
                             std::uint64_t content = ready,
                             std::uint64_t subject = first_incarnation)
{
    return {object_version(store_era(1), revision), content, subject};
}

object_digest after_restore(std::uint64_t revision,
                            std::uint64_t content = ready,
                            std::uint64_t subject = first_incarnation)
{
    return {object_version(store_era(2), revision), content, subject};
}

object_digest after_second_restore(std::uint64_t revision,
                                   std::uint64_t content = ready)
{
    return {object_version(store_era(3), revision), content, first_incarnation};
}

class restored_targets : public testing::Test
{
protected:
    static restored_list_options options()
    {
        restored_list_options result;
        result.presence_settle_time = seconds(2);
        result.absence_settle_time = seconds(2);
        result.states_are_final = true;
        result.max_deletions = 3;
        return result;
    }

    restored_list_merge merge{options()};
    time_point start{seconds(100)};
};

class restored_evacuations : public testing::Test
{
protected:
    static restored_list_options options()
    {
        restored_list_options result;
        result.presence_settle_time = seconds(5);
        result.absence_settle_time = seconds(4);
        return result;
    }

    restored_list_merge merge{options()};
    time_point start{seconds(100)};
};

TEST_F(restored_targets, departed_target_is_not_brought_back)
{
    this->merge.record_deletion("a", before_restore(50, draining));
    this->merge.apply({{"a", std::nullopt, after_restore(30)}}, this->start);
    EXPECT_TRUE(this->merge.holds("a"));
    EXPECT_TRUE(this->merge.settle(this->start + seconds(3600)).empty());
    EXPECT_TRUE(this->merge.holds("a"));
    EXPECT_EQ(this->merge.restored_deletions(), std::vector<std::string>{"a"});
}

TEST_F(restored_targets, departed_target_stays_away_through_a_second_restore)
{
    this->merge.record_deletion("a", before_restore(50));
    this->merge.apply({{"a", std::nullopt, after_restore(30)}}, this->start);
    this->merge.apply({{"a", after_restore(30), after_second_restore(30)}},
                      this->start + seconds(1));
    EXPECT_TRUE(this->merge.holds("a"));
    EXPECT_EQ(this->merge.restored_deletions().size(), 1U);
}

TEST_F(restored_targets, node_of_a_departed_target_returns_with_its_next_write)
{
    this->merge.record_deletion("a", before_restore(50));
    this->merge.apply({{"a", std::nullopt, after_restore(30)}}, this->start);
    this->merge.record_change("a");
    EXPECT_FALSE(this->merge.holds("a"));
    EXPECT_TRUE(this->merge.restored_deletions().empty());
}

TEST_F(restored_targets, other_incarnation_than_the_departed_one_settles)
{
    this->merge.record_deletion("a",
                                before_restore(50, ready, second_incarnation));
    this->merge.apply({{"a", std::nullopt, after_restore(30)}}, this->start);
    EXPECT_TRUE(this->merge.holds("a"));
    EXPECT_TRUE(this->merge.restored_deletions().empty())
        << "it may be newer than the departed one";
    EXPECT_TRUE(this->merge.settle(this->start + milliseconds(1999)).empty());
    EXPECT_EQ(this->merge.settle(this->start + seconds(2)).size(), 1U);
    EXPECT_FALSE(this->merge.holds("a"));
}

TEST_F(restored_targets, target_that_departed_before_its_last_write_is_used)
{
    this->merge.record_deletion("a", before_restore(50));
    EXPECT_EQ(this->merge.apply({{"a", std::nullopt, after_restore(51)}},
                                this->start),
              0U);
    EXPECT_FALSE(this->merge.holds("a"));
}

TEST_F(restored_targets, missing_target_is_held_until_its_node_writes_again)
{
    EXPECT_EQ(this->merge.apply({{"a", before_restore(50), std::nullopt}},
                                this->start),
              1U);
    EXPECT_TRUE(this->merge.holds("a"));
    EXPECT_EQ(this->merge.next_settle_time(), this->start + seconds(2));
    this->merge.record_change("a");
    EXPECT_FALSE(this->merge.holds("a"));
    EXPECT_FALSE(this->merge.next_settle_time());
}

TEST_F(restored_targets, missing_target_is_held_for_two_seconds_at_most)
{
    this->merge.apply({{"a", before_restore(50), std::nullopt}}, this->start);
    EXPECT_TRUE(this->merge.settle(this->start + milliseconds(1999)).empty());
    EXPECT_EQ(this->merge.settle(this->start + seconds(2)),
              std::vector<std::string>{"a"});
    EXPECT_FALSE(this->merge.holds("a"));
}

// The second restore may have lost what the node wrote after the first.
TEST_F(restored_targets, second_restore_starts_the_settle_time_again)
{
    this->merge.apply({{"a", before_restore(50), std::nullopt}}, this->start);
    this->merge.apply({}, this->start + milliseconds(1500));
    EXPECT_TRUE(this->merge.settle(this->start + milliseconds(2500)).empty());
    EXPECT_TRUE(this->merge.holds("a"));
}

TEST_F(restored_targets, draining_target_that_the_copy_has_as_ready_is_held)
{
    this->merge.apply(
        {{"a", before_restore(50, draining), after_restore(30, ready)}},
        this->start);
    EXPECT_TRUE(this->merge.holds("a"));
    EXPECT_TRUE(this->merge.settle(this->start + seconds(3600)).empty());
    EXPECT_TRUE(this->merge.holds("a"));
    EXPECT_TRUE(this->merge.restored_deletions().empty())
        << "its entry is not removed from the store";
    this->merge.record_change("a");
    EXPECT_FALSE(this->merge.holds("a"));
}

// The deletion of an entry that the copy lacks replaced what was remembered of
// the departed target, which then returned after 2 s.
TEST_F(restored_targets, repeated_deletion_keeps_a_departed_target_away)
{
    this->merge.record_deletion("a", before_restore(50));
    this->merge.record_repeated_deletion("a");
    this->merge.apply({{"a", std::nullopt, after_restore(30)}}, this->start);
    EXPECT_TRUE(this->merge.settle(this->start + seconds(3600)).empty());
    EXPECT_TRUE(this->merge.holds("a"));
}

TEST_F(restored_targets, unchanged_target_is_not_held)
{
    EXPECT_EQ(this->merge.apply({{"a", before_restore(50), after_restore(50)},
                                 {"b", before_restore(60), after_restore(40)}},
                                this->start),
              0U);
}

TEST_F(restored_targets, target_that_drains_since_the_restore_is_not_held)
{
    this->merge.apply(
        {{"a", before_restore(50, ready), after_restore(70, draining)}},
        this->start);
    EXPECT_FALSE(this->merge.holds("a"));
}

// Without this, a revision that was given out again would be taken for the
// known state.
TEST_F(restored_targets, other_content_at_the_known_revision_is_new)
{
    this->merge.apply(
        {{"a", before_restore(50, ready), after_restore(50, draining)}},
        this->start);
    EXPECT_FALSE(this->merge.holds("a"));
}

// "a" shows that revision 40 was lost, so that 45 was given out again.
TEST_F(restored_targets, revision_above_a_lost_one_is_new)
{
    this->merge.apply(
        {{"a", before_restore(40, draining), after_restore(30, ready)},
         {"b", before_restore(60, ready), after_restore(45, draining)}},
        this->start);
    EXPECT_TRUE(this->merge.holds("a"));
    EXPECT_FALSE(this->merge.holds("b"));
}

// An object that was deleted after the restore is no sign of a lost revision.
TEST_F(restored_targets, missing_object_does_not_make_earlier_states_new)
{
    this->merge.apply(
        {{"a", before_restore(10), std::nullopt},
         {"b", before_restore(60, draining), after_restore(45, ready)}},
        this->start);
    EXPECT_TRUE(this->merge.holds("b"));
}

TEST_F(restored_targets, object_that_was_never_known_is_used_at_once)
{
    EXPECT_EQ(this->merge.apply({{"a", std::nullopt, after_restore(30)}},
                                this->start),
              0U);
}

TEST_F(restored_targets, oldest_deletions_are_forgotten_beyond_the_limit)
{
    for (std::uint64_t i = 0; i < 4; ++i)
    {
        this->merge.record_deletion("a" + std::to_string(i),
                                    before_restore(50 + i));
    }
    EXPECT_EQ(this->merge.apply({{"a0", std::nullopt, after_restore(30)},
                                 {"a1", std::nullopt, after_restore(31)}},
                                this->start),
              1U);
    EXPECT_FALSE(this->merge.holds("a0"));
    EXPECT_TRUE(this->merge.holds("a1"));
}

TEST_F(restored_evacuations, evacuation_that_the_copy_lacks_holds)
{
    this->merge.apply({{"d1", before_restore(50), std::nullopt}}, this->start);
    EXPECT_TRUE(this->merge.holds("d1"));
    EXPECT_TRUE(this->merge.settle(this->start + milliseconds(4999)).empty());
    EXPECT_EQ(this->merge.settle(this->start + seconds(5)).size(), 1U);
}

TEST_F(restored_evacuations, operator_ends_the_hold_of_a_missing_evacuation)
{
    this->merge.apply({{"d1", before_restore(50), std::nullopt}}, this->start);
    this->merge.record_change("d1");
    EXPECT_FALSE(this->merge.holds("d1"));
}

TEST_F(restored_evacuations, lifted_evacuation_does_not_come_into_force)
{
    this->merge.record_deletion("d1", before_restore(50));
    this->merge.apply({{"d1", std::nullopt, after_restore(30)}}, this->start);
    EXPECT_TRUE(this->merge.holds("d1"));
    EXPECT_TRUE(this->merge.restored_deletions().empty());
    EXPECT_TRUE(this->merge.settle(this->start + milliseconds(3999)).empty());
    EXPECT_EQ(this->merge.settle(this->start + seconds(4)).size(), 1U);
    EXPECT_FALSE(this->merge.holds("d1"));
}

TEST_F(restored_evacuations, operator_ends_the_hold_of_a_lifted_evacuation)
{
    this->merge.record_deletion("d1", before_restore(50));
    this->merge.apply({{"d1", std::nullopt, after_restore(30)}}, this->start);
    this->merge.record_change("d1");
    EXPECT_FALSE(this->merge.holds("d1"));
}

} // namespace
} // namespace endivehinge

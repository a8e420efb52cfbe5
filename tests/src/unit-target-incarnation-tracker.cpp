#include <gtest/gtest.h>

#include <endivehinge/policy/target_incarnation_tracker.hpp>

namespace endivehinge
{
namespace
{

using change = target_incarnation_tracker::change;

target_status_report report(char const * id,
                            std::int64_t started_ms,
                            std::uint64_t sequence,
                            target_state state = target_state::ready)
{
    target_status_report made;
    made.id = target_id(id);
    made.started_ms = started_ms;
    made.sequence = sequence;
    made.state = state;
    made.slots = 8;
    return made;
}

TEST(target_incarnation_tracker, late_reports_change_nothing)
{
    target_incarnation_tracker identity;
    EXPECT_EQ(identity.report(report("a", 10, 1)), change::new_incarnation);
    EXPECT_EQ(identity.report(report("a", 10, 3, target_state::draining)),
              change::state);
    EXPECT_EQ(identity.report(report("a", 10, 2)), change::none);
    EXPECT_EQ(identity.current()->state, target_state::draining);
}

TEST(target_incarnation_tracker, a_report_of_an_earlier_run_changes_nothing)
{
    target_incarnation_tracker identity;
    identity.report(report("a", 10, 5));
    EXPECT_EQ(identity.report(report("b", 20, 1)), change::new_incarnation);
    EXPECT_EQ(identity.report(report("a", 10, 6)), change::none);
    EXPECT_EQ(identity.current()->id, target_id("b"));
}

TEST(target_incarnation_tracker, a_run_that_drains_is_never_ready_again)
{
    target_incarnation_tracker identity;
    identity.report(report("a", 10, 1, target_state::draining));
    identity.report(report("a", 10, 2));
    EXPECT_EQ(identity.current()->state, target_state::draining);
    EXPECT_EQ(identity.record_health_response(target_id("a"), 8),
              change::refreshed);
    EXPECT_EQ(identity.current()->state, target_state::draining);
}

TEST(target_incarnation_tracker, a_run_that_left_is_not_taken_in_again)
{
    target_incarnation_tracker identity;
    identity.report(report("a", 10, 1));
    EXPECT_TRUE(identity.leave(target_id("a")));
    EXPECT_FALSE(identity.current().has_value());
    EXPECT_EQ(identity.report(report("a", 10, 2)), change::none);
    EXPECT_EQ(identity.record_health_response(target_id("a"), 8), change::none);
    EXPECT_FALSE(identity.current().has_value());
}

TEST(target_incarnation_tracker, a_new_run_may_have_the_id_of_an_earlier_one)
{
    target_incarnation_tracker identity;
    identity.report(report("a", 10, 7));
    identity.leave(target_id("a"));
    EXPECT_EQ(identity.report(report("a", 11, 1)), change::new_incarnation);
    EXPECT_EQ(identity.current()->started_ms, 11);
}

TEST(target_incarnation_tracker, a_leave_heard_before_any_report_holds)
{
    target_incarnation_tracker identity;
    EXPECT_FALSE(identity.leave(target_id("a")));
    EXPECT_EQ(identity.report(report("a", 10, 9)), change::none);
    EXPECT_EQ(identity.report(report("a", 30, 1)), change::new_incarnation);
}

TEST(target_incarnation_tracker,
     another_run_at_the_address_is_found_by_its_answer)
{
    target_incarnation_tracker identity;
    identity.report(report("a", 10, 1));
    identity.invalidate(target_id("a"));
    EXPECT_FALSE(identity.current().has_value());
    EXPECT_EQ(identity.record_health_response(target_id("b"), 8),
              change::new_incarnation);
    EXPECT_EQ(identity.record_health_response(target_id("c"), 0), change::none);
}

} // namespace
} // namespace endivehinge

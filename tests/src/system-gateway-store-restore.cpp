#include <gtest/gtest.h>

#include <algorithm> // all_of

#include <endivehinge/detail/gateway/loop_time.hpp>

#include "gateway/gateway_fleet.hpp"

namespace endivehinge::tests
{
namespace
{

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

// within which a node's entry is back after the store returned (issue 23)
constexpr duration entry_return_limit = seconds(2);

bool all_nodes_have_evacuated(gateway_fleet & fleet, std::string const & domain)
{
    return std::all_of(fleet.members.begin(),
                       fleet.members.end(),
                       [&domain](auto const & member)
                       {
                           return member->node->state.fleet.is_evacuated(
                               failure_domain(domain));
                       });
}

/// @brief lets all copies pass the revision that the store returns to
/// @return a revision from before
std::uint64_t write_changes_to_lose(gateway_fleet & fleet)
{
    auto const revision = fleet.store.current_revision();
    for (int i = 0; i < 10; ++i)
    {
        fleet.store.put("evacuations", "lost", {{"step", i}});
    }
    EXPECT_TRUE(fleet.run_until(
        [&fleet]
        {
            return all_nodes_have_evacuated(fleet, "lost");
        }));
    return revision;
}

bool has_entry(gateway_fleet const & fleet, std::string const & node)
{
    return !fleet.store.spec("targets", node).is_null();
}

/// @brief adds a member whose entry a restore to the returned revision loses
std::uint64_t add_member_to_lose(gateway_fleet & fleet)
{
    auto const revision = fleet.store.current_revision();
    auto & member = fleet.add("web");
    fleet.report(member, "ready", 1);
    auto const name = member.node->state.settings.node.value();
    EXPECT_TRUE(fleet.run_until(
        [&fleet, &name]
        {
            return has_entry(fleet, name);
        }));
    return revision;
}

TEST(gateway_store_restore, changes_below_the_old_revisions_are_seen)
{
    gateway_fleet fleet;
    fleet.start_members(3, "web");
    auto const revision = write_changes_to_lose(fleet);
    fleet.store.restore(revision);
    auto const restored_at = detail::loop_now();
    fleet.store.put("evacuations", "later", json::object());
    ASSERT_LT(fleet.store.current_revision(), revision + 10);
    EXPECT_TRUE(fleet.run_until(
        [&fleet]
        {
            return all_nodes_have_evacuated(fleet, "later");
        }));
    EXPECT_LT(detail::loop_now() - restored_at, seconds(3));
}

TEST(gateway_store_restore, changes_after_two_restores_are_seen)
{
    gateway_fleet fleet;
    fleet.start_members(3, "web");
    auto const revision = write_changes_to_lose(fleet);
    fleet.store.restore(revision + 5);
    fleet.run_for(milliseconds(250));
    fleet.store.restore(revision);
    auto const restored_at = detail::loop_now();
    fleet.store.put("evacuations", "later", json::object());
    EXPECT_TRUE(fleet.run_until(
        [&fleet]
        {
            return all_nodes_have_evacuated(fleet, "later");
        }));
    EXPECT_LT(detail::loop_now() - restored_at, seconds(3));
}

TEST(gateway_store_restore, entry_that_the_copy_lacks_is_written_again_once)
{
    gateway_fleet fleet;
    fleet.start_members(3, "web");
    auto const revision = add_member_to_lose(fleet);
    fleet.run_for(milliseconds(500));
    fleet.store.restore(revision);
    auto const restored_at = detail::loop_now();
    ASSERT_FALSE(has_entry(fleet, "node-3"));
    EXPECT_TRUE(fleet.run_until(
        [&fleet]
        {
            return has_entry(fleet, "node-3");
        }));
    EXPECT_LT(detail::loop_now() - restored_at, entry_return_limit);
    fleet.run_for(seconds(3));
    EXPECT_EQ(fleet.store.current_revision(), revision + 1);
}

TEST(gateway_store_restore, all_entries_come_back_each_written_once)
{
    constexpr std::size_t member_count = 12;
    gateway_fleet fleet;
    fleet.configure(1, "web");
    auto const revision = fleet.store.current_revision();
    fleet.start_members(member_count, "web");
    fleet.run_for(seconds(2));
    fleet.store.restore(revision);
    auto const restored_at = detail::loop_now();
    EXPECT_TRUE(fleet.run_until(
        [&fleet]
        {
            return std::all_of(
                fleet.members.begin(),
                fleet.members.end(),
                [&fleet](auto const & member)
                {
                    return has_entry(fleet,
                                     member->node->state.settings.node.value());
                });
        }));
    auto const elapsed = detail::loop_now() - restored_at;
    RecordProperty(
        "entries_back_ms",
        static_cast<int>(
            std::chrono::duration_cast<milliseconds>(elapsed).count()));
    EXPECT_LT(elapsed, entry_return_limit);
    fleet.run_for(seconds(2));
    EXPECT_EQ(fleet.store.current_revision(), revision + member_count);
}

TEST(gateway_store_restore, entry_that_went_back_to_ready_is_written_again)
{
    gateway_fleet fleet;
    fleet.start_members(2, "web");
    auto const revision = fleet.store.current_revision();
    fleet.report(*fleet.members[1], "draining", 2);
    auto const is_draining = [&fleet]
    {
        auto const spec = fleet.store.spec("targets", "node-1");
        return spec.is_object() && spec.at("state") == "draining";
    };
    ASSERT_TRUE(fleet.run_until(is_draining));
    fleet.run_for(milliseconds(500));
    fleet.store.restore(revision);
    auto const restored_at = detail::loop_now();
    ASSERT_FALSE(is_draining());
    EXPECT_TRUE(fleet.run_until(is_draining));
    EXPECT_LT(detail::loop_now() - restored_at, entry_return_limit);
}

TEST(gateway_store_restore,
     late_write_response_of_the_earlier_era_is_not_stored)
{
    gateway_fleet fleet;
    fleet.start_members(2, "web");
    fleet.store.responses_to_hold = 1;
    auto const revision = add_member_to_lose(fleet);
    fleet.store.restore(revision);
    auto const restored_at = detail::loop_now();
    // shorter than the time limit of a write
    fleet.run_for(milliseconds(500));
    fleet.store.send_held_responses();
    EXPECT_TRUE(fleet.run_until(
        [&fleet]
        {
            return has_entry(fleet, "node-2");
        }));
    EXPECT_LT(detail::loop_now() - restored_at, entry_return_limit);
}

/// @brief counts the calls in the five seconds after a restore
/// @param settling how long the fleet has run; nodes that have just started
/// all follow the store, and a second later one of them does
std::uint64_t count_calls_after_restore(bool states_era, duration settling)
{
    gateway_fleet fleet;
    fleet.store.states_era = states_era;
    fleet.start_members(3, "web");
    auto const revision = write_changes_to_lose(fleet);
    fleet.run_for(settling);
    fleet.store.restore(revision);
    auto const calls_before = fleet.store.request_count();
    fleet.run_for(seconds(5));
    return fleet.store.request_count() - calls_before;
}

// A node that follows the store calls it for a lost watch, three lists and
// three watches, and then five times in five seconds, as without a restore.
TEST(gateway_store_restore, nodes_do_not_call_in_a_loop_after_410)
{
    auto const calls = count_calls_after_restore(true, seconds(2));
    RecordProperty("calls", static_cast<int>(calls));
    EXPECT_LE(calls, 20U);
}

TEST(gateway_store_restore, nodes_do_not_call_in_a_loop_if_no_era_is_stated)
{
    auto const calls = count_calls_after_restore(false, seconds(2));
    RecordProperty("calls", static_cast<int>(calls));
    EXPECT_LE(calls, 30U);
}

TEST(gateway_store_restore, nodes_that_just_started_do_not_call_in_a_loop)
{
    auto const calls = count_calls_after_restore(true, milliseconds(0));
    RecordProperty("calls", static_cast<int>(calls));
    EXPECT_LE(calls, 3 * 7 + 20U);
}

// While a store fails, its answers are the first that state the new era.
TEST(gateway_store_restore, era_in_a_refusal_is_noticed_and_calls_stay_few)
{
    gateway_fleet fleet;
    fleet.start_members(3, "web");
    auto const revision = write_changes_to_lose(fleet);
    fleet.run_for(seconds(2));
    fleet.store.restore(revision);
    fleet.store.status = 503;
    auto const calls_before = fleet.store.request_count();
    fleet.run_for(seconds(2));
    auto const calls = fleet.store.request_count() - calls_before;
    RecordProperty("calls", static_cast<int>(calls));
    EXPECT_LE(calls, 30U);
    fleet.store.status = 0;
    auto const returned_at = detail::loop_now();
    fleet.store.put("evacuations", "later", json::object());
    EXPECT_TRUE(fleet.run_until(
        [&fleet]
        {
            return all_nodes_have_evacuated(fleet, "later");
        }));
    EXPECT_LT(detail::loop_now() - returned_at, seconds(3));
}

TEST(gateway_store_restore, metrics_state_the_era_and_count_the_restores)
{
    gateway_fleet fleet;
    fleet.start_members(2, "web");
    auto const revision = write_changes_to_lose(fleet);
    auto const all_state = [&fleet](std::string const & text)
    {
        return std::all_of(
            fleet.members.begin(),
            fleet.members.end(),
            [&text](auto const & member)
            {
                return member->node->state.metrics.to_text().find(text) !=
                       std::string::npos;
            });
    };
    EXPECT_TRUE(all_state("endivehinge_store_era 1\n"));
    EXPECT_FALSE(all_state("endivehinge_store_restores_total"));
    fleet.store.restore(revision);
    EXPECT_TRUE(fleet.run_until(
        [&all_state]
        {
            return all_state("endivehinge_store_era 2\n") &&
                   all_state("endivehinge_store_restores_total 1\n");
        }));
}

} // namespace
} // namespace endivehinge::tests

#include <gtest/gtest.h>

#include "gateway/gateway_fleet.hpp"

namespace endivehinge::tests
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

std::size_t answered_count(
    std::vector<std::shared_ptr<gateway_fleet::client_call>> const & calls)
{
    std::size_t count = 0;
    for (auto const & call : calls)
    {
        count +=
            call->result && call->result->response.result_int() == 200 ? 1 : 0;
    }
    return count;
}

// A target that leaves may report it late, or to a node that does not answer.
// Its responses say so too, but no node read that.
TEST(gateway_leaving_target, gets_no_request_after_a_response_that_says_so)
{
    gateway_fleet fleet;
    fleet.start_members(3, "web");
    auto & leaving = *fleet.members[0]->target;
    std::vector<std::shared_ptr<gateway_fleet::client_call>> calls;
    auto const send = [&fleet, &calls](int count)
    {
        for (int i = 0; i < count; ++i)
        {
            auto const number = std::to_string(calls.size());
            calls.push_back(
                fleet.send(*fleet.members[calls.size() % fleet.members.size()],
                           "/safe/" + number,
                           "id-" + number));
            fleet.run_for(milliseconds(10));
        }
    };
    leaving.extra_fields["Server-Leaving"] = "1";
    send(30);
    auto const before = leaving.executed_ids.size();
    EXPECT_GT(before, 0U);
    send(100);
    fleet.run_for(milliseconds(100));
    EXPECT_LE(leaving.executed_ids.size(), before);
    EXPECT_EQ(answered_count(calls), calls.size());
    EXPECT_TRUE(fleet.run_until(
        [&fleet]
        {
            return fleet.store.spec("targets", "node-0").value("state", "") ==
                   "draining";
        }));
}

TEST(gateway_leaving_target, its_next_incarnation_is_used)
{
    gateway_fleet fleet;
    fleet.start_members(1, "web");
    auto & target = *fleet.members[0]->target;
    target.extra_fields["Server-Leaving"] = "1";
    EXPECT_EQ(fleet.send_and_wait(*fleet.members[0], "/safe/a", "id-1")
                  .response.result_int(),
              200U);
    EXPECT_EQ(fleet.send_and_wait(*fleet.members[0], "/safe/a", "id-2")
                  .response.result_int(),
              503U);
    target.extra_fields.clear();
    target.id = "i-next";
    EXPECT_EQ(fleet.report(*fleet.members[0], "ready", 1), 200U);
    EXPECT_EQ(fleet.send_and_wait(*fleet.members[0], "/safe/a", "id-3")
                  .response.result_int(),
              200U);
}

// A report that was on its way when the target began to leave.
TEST(gateway_leaving_target, a_late_report_does_not_make_it_ready_again)
{
    gateway_fleet fleet;
    fleet.start_members(1, "web");
    auto & target = *fleet.members[0]->target;
    target.extra_fields["Server-Leaving"] = "1";
    static_cast<void>(
        fleet.send_and_wait(*fleet.members[0], "/safe/a", "id-1"));
    EXPECT_EQ(fleet.report(*fleet.members[0], "ready", 2), 200U);
    EXPECT_EQ(fleet.send_and_wait(*fleet.members[0], "/safe/a", "id-2")
                  .response.result_int(),
              503U);
    EXPECT_EQ(fleet.execution_count("id-2"), 0U);
}

// A target that has reported its departure may run on for seconds and answer
// health probes as before. A new process of its node took it for ready.
TEST(gateway_leaving_target, gets_no_request_after_its_node_restarted)
{
    gateway_fleet fleet;
    fleet.start_members(1, "web");
    auto & member = *fleet.members[0];
    EXPECT_EQ(fleet.report(member, "draining", 2), 200U);
    EXPECT_EQ(fleet.store.spec("targets", "node-0").value("state", ""),
              "draining");
    fleet.restart_node(member);
    auto const probes = member.target->probe_count;
    EXPECT_TRUE(fleet.run_until(
        [&member, probes]
        {
            return member.target->probe_count > probes + 2;
        }));
    EXPECT_EQ(
        fleet.send_and_wait(member, "/safe/a", "id-1").response.result_int(),
        503U);
    EXPECT_EQ(fleet.execution_count("id-1"), 0U);
    EXPECT_EQ(fleet.store.spec("targets", "node-0").value("state", ""),
              "draining");
}

// A node that started beside a running target removed the stored entry and
// wrote it again: other nodes did without the target meanwhile.
TEST(gateway_leaving_target, entry_stays_while_its_node_restarts)
{
    gateway_fleet fleet;
    fleet.start_members(1, "web");
    auto & member = *fleet.members[0];
    auto const is_stored = [&fleet]
    {
        return !fleet.store.spec("targets", "node-0").is_null();
    };
    EXPECT_TRUE(fleet.run_until(is_stored));
    fleet.restart_node(member);
    bool stays_stored = true;
    EXPECT_TRUE(fleet.run_until(
        [&member, &is_stored, &stays_stored]
        {
            stays_stored = stays_stored && is_stored();
            return member.node->state.target.entry().has_value();
        }));
    EXPECT_TRUE(stays_stored);
}

// The target that starts next may have the same id.
TEST(gateway_leaving_target, next_incarnation_is_used_after_a_node_restart)
{
    gateway_fleet fleet;
    fleet.start_members(1, "web");
    auto & member = *fleet.members[0];
    EXPECT_EQ(fleet.report(member, "draining", 2), 200U);
    fleet.restart_node(member);
    EXPECT_TRUE(fleet.run_until(
        [&member]
        {
            return member.node->state.fleet.configuration() != nullptr;
        }));
    member.started_ms += 1;
    EXPECT_EQ(fleet.report(member, "ready", 1), 200U);
    EXPECT_EQ(
        fleet.send_and_wait(member, "/safe/a", "id-1").response.result_int(),
        200U);
}

// The entry of a target that had left was removed, so that the next process of
// its node took a report that arrived late for one of a target in service.
TEST(gateway_leaving_target, late_report_after_a_restart_does_not_bring_it_back)
{
    gateway_fleet fleet;
    fleet.start_members(1, "web");
    auto & member = *fleet.members[0];
    EXPECT_EQ(fleet.report(member, "leave", 2), 200U);
    for (int const sequence : {9, 1})
    {
        fleet.restart_node(member);
        EXPECT_TRUE(fleet.run_until(
            [&member]
            {
                return member.node->state.fleet.configuration() != nullptr;
            }));
        EXPECT_EQ(fleet.report(member, "ready", sequence), 200U);
        auto const id = "id-" + std::to_string(sequence);
        EXPECT_EQ(
            fleet.send_and_wait(member, "/safe/a", id).response.result_int(),
            503U);
        EXPECT_EQ(fleet.execution_count(id), 0U);
    }
    EXPECT_EQ(fleet.store.spec("targets", "node-0").value("state", ""), "gone");
}

// A confirmation that only the process knew was gone with it.
TEST(gateway_leaving_target, departure_is_confirmed_once_it_is_stored)
{
    gateway_fleet fleet;
    fleet.start_members(1, "web");
    auto & member = *fleet.members[0];
    EXPECT_TRUE(fleet.run_until(
        [&fleet]
        {
            return !fleet.store.spec("targets", "node-0").is_null();
        }));
    fleet.store.unresponsive = true;
    EXPECT_EQ(fleet.report(member, "draining", 2), 503U);
    EXPECT_EQ(fleet.report(member, "leave", 3), 503U);
    // it holds at once all the same
    EXPECT_EQ(
        fleet.send_and_wait(member, "/safe/a", "id-1").response.result_int(),
        503U);
    EXPECT_EQ(fleet.execution_count("id-1"), 0U);
    fleet.store.unresponsive = false;
    EXPECT_TRUE(fleet.run_until(
        [&fleet, &member]
        {
            return fleet.report(member, "leave", 3) == 200U;
        }));
    EXPECT_EQ(fleet.store.spec("targets", "node-0").value("state", ""), "gone");
}

TEST(gateway_leaving_target, leave_of_an_earlier_incarnation_does_not_end_it)
{
    gateway_fleet fleet;
    fleet.start_members(1, "web");
    auto & member = *fleet.members[0];
    member.started_ms += 1;
    EXPECT_EQ(fleet.report(member, "ready", 1), 200U);
    member.started_ms -= 1;
    EXPECT_EQ(fleet.report(member, "leave", 9), 200U);
    EXPECT_EQ(
        fleet.send_and_wait(member, "/safe/a", "id-1").response.result_int(),
        200U);
}

// Entries of targets that are gone would stay in the store for good.
TEST(gateway_leaving_target, entry_goes_with_the_node_of_an_ended_target)
{
    gateway_fleet fleet;
    fleet.start_members(2, "web");
    for (std::size_t i = 0; i < 2; ++i)
    {
        auto & member = *fleet.members[i];
        EXPECT_EQ(fleet.report(member, "leave", 2), 200U);
        if (i == 0)
        {
            member.target->crash();
        }
        bool stopped = false;
        member.node->stop(
            [&stopped]
            {
                stopped = true;
            });
        EXPECT_TRUE(fleet.run_until(
            [&stopped]
            {
                return stopped;
            }));
    }
    EXPECT_TRUE(fleet.store.spec("targets", "node-0").is_null());
    EXPECT_EQ(fleet.store.spec("targets", "node-1").value("state", ""), "gone")
        << "the target still runs, and a late report may arrive";
}

} // namespace
} // namespace endivehinge::tests

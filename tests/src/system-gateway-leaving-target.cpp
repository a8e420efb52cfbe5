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

} // namespace
} // namespace endivehinge::tests

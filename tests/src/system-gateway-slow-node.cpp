#include <gtest/gtest.h>

#include <boost/asio/post.hpp> // post

#include "gateway/gateway_fleet.hpp"

namespace endivehinge::tests
{
namespace
{

using std::chrono::milliseconds;

/// @brief a node without a target of its own, and nodes of a service whose
/// links can be slow
class slow_node_fleet : public gateway_fleet
{
public:
    explicit slow_node_fleet(std::size_t count)
    {
        this->start_members(count, "web");
        this->sender = &this->add("other");
        EXPECT_TRUE(this->run_until(
            [this, count]
            {
                return this->view().ready_targets(service_name("web")).size() ==
                       count;
            }));
        for (std::size_t i = 0; i < count; ++i)
        {
            this->add_relay(*this->members[i]);
        }
    }

    detail::fleet_view & view()
    {
        return this->sender->node->state.fleet;
    }

    fleet_member * sender = nullptr;
    // in front of the nodes, in their order
    std::vector<std::unique_ptr<fault_relay>> links;

private:
    void add_relay(fleet_member const & member)
    {
        auto const & settings = member.node->state.settings;
        auto entry = *member.node->state.target.entry();
        this->links.push_back(std::make_unique<fault_relay>(
            this->io, endpoint{"127.0.0.1", 0}, settings.peer_listener));
        entry.peer = this->links.back()->address();
        this->view().set_target(entry);
    }
};

relay_faults slow_link()
{
    // a request takes longer than the query of its state waits
    relay_faults faults;
    faults.delay_to_server = milliseconds(700);
    return faults;
}

// A node that was slow to respond to the query of a request counted as lost.
// With no retry left, a stopping node answered 502 while the request was on its
// way to the target, which had begun to run it.
TEST(gateway_slow_node, a_request_at_a_slow_node_is_not_given_up)
{
    slow_node_fleet fleet(1);
    fleet.links[0]->set_faults(slow_link());
    fleet.sender->node->stop([] {});
    auto const result = fleet.send_and_wait(*fleet.sender, "/safe/a", "id-1");
    EXPECT_EQ(result.response.result_int(), 200U);
    EXPECT_EQ(fleet.execution_count("id-1"), 1U);
    EXPECT_EQ(fleet.members[0]->target->cancelled_count, 0U);
}

// The retry of a request at a slow node was refused, and the refusal ended the
// request although the first node still ran it.
TEST(gateway_slow_node, a_refused_retry_does_not_end_the_first_attempt)
{
    slow_node_fleet fleet(2);
    for (auto const & link : fleet.links)
    {
        link->set_faults(slow_link());
    }
    auto const call = fleet.send(*fleet.sender, "/safe/a", "id-1");
    // the query of the request is on its way as well
    fleet.run_for(milliseconds(300));
    // no target accepts the retry
    for (auto const & link : fleet.links)
    {
        link->set_faults({});
    }
    for (auto & member : fleet.members)
    {
        member->node->state.target.set_evacuated(true);
    }
    fleet.run_for(milliseconds(250));
    EXPECT_FALSE(call->result.has_value());
    for (auto & member : fleet.members)
    {
        member->node->state.target.set_evacuated(false);
    }
    ASSERT_TRUE(fleet.run_until(
        [&call]
        {
            return call->result.has_value();
        }));
    EXPECT_EQ(call->result->response.result_int(), 200U);
}

// A request at a slow node is retried elsewhere without waiting for it.
TEST(gateway_slow_node,
     the_answer_of_a_retry_is_sent_before_that_of_a_slow_node)
{
    slow_node_fleet fleet(2);
    fleet.links[0]->set_faults(slow_link());
    fleet.links[1]->set_faults(slow_link());
    auto const call = fleet.send(*fleet.sender, "/safe/a", "id-1");
    fleet.run_for(milliseconds(300));
    // bytes that are on their way stay delayed
    for (auto const & link : fleet.links)
    {
        link->set_faults({});
    }
    ASSERT_TRUE(fleet.run_until(
        [&call]
        {
            return call->result.has_value();
        }));
    EXPECT_EQ(call->result->response.result_int(), 200U);
    EXPECT_EQ(fleet.execution_count("id-1"), 1U)
        << "the request has not reached the slow node yet";
}

// The response of a completed request was on its way for longer than usual; its
// connection was closed and the client got 502.
TEST(gateway_slow_node, a_response_on_its_way_is_not_discarded)
{
    slow_node_fleet fleet(1);
    relay_faults slow_response;
    slow_response.delay_to_client = milliseconds(1200);
    fleet.links[0]->set_faults(slow_response);
    auto const call = fleet.send(*fleet.sender, "/unsafe/a", "id-1");
    fleet.run_for(milliseconds(100));
    ASSERT_EQ(fleet.execution_count("id-1"), 1U);
    // bytes that are on their way stay delayed
    fleet.links[0]->set_faults({});
    ASSERT_TRUE(fleet.run_until(
        [&call]
        {
            return call->result.has_value();
        }));
    EXPECT_EQ(call->result->response.result_int(), 200U);
    EXPECT_EQ(fleet.execution_count("id-1"), 1U);
}

} // namespace
} // namespace endivehinge::tests

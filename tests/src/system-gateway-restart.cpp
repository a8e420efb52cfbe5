#include <gtest/gtest.h>

#include <string> // to_string
#include <vector> // vector

#include "gateway/gateway_fleet.hpp"

namespace endivehinge::tests
{
namespace
{

using boost::asio::ip::tcp;

/// @brief listening sockets that accept connections but never respond
class silent_seeds
{
public:
    silent_seeds(boost::asio::io_context & loop, std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            this->listeners.emplace_back(
                loop,
                tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
        }
    }

    [[nodiscard]] std::vector<endpoint> addresses() const
    {
        std::vector<endpoint> result;
        for (auto const & listener : this->listeners)
        {
            result.push_back({"127.0.0.1", listener.local_endpoint().port()});
        }
        return result;
    }

private:
    std::vector<tcp::acceptor> listeners;
};

// After all machines lost power, the seeds of the settings return at the same
// time as the node, or never. Querying them one after the other before the
// store left nodes without configuration while the store was available: 60 of
// them took longer than run_until() waits.
TEST(gateway_start, configuration_is_loaded_although_seeds_do_not_respond)
{
    gateway_fleet fleet;
    silent_seeds const seeds(fleet.io, 60);
    fleet.seeds = seeds.addresses();
    fleet.configure(4, "web");
    auto & member = fleet.add("web");
    EXPECT_TRUE(fleet.run_until(
        [&member]
        {
            return member.node->state.fleet.configuration() != nullptr;
        }));
}

// With the store unavailable, a node gets the configuration from a seed even if
// the other seeds do not respond.
TEST(gateway_start, one_seed_is_enough_while_the_store_is_unavailable)
{
    gateway_fleet fleet;
    fleet.start_members(1, "web");
    silent_seeds const seeds(fleet.io, 60);
    fleet.seeds = seeds.addresses();
    fleet.seeds.push_back(
        fleet.members[0]->node->state.settings.report_listener);
    fleet.store.unresponsive = true;
    auto & member = fleet.add("web");
    EXPECT_TRUE(fleet.run_until(
        [&member]
        {
            return member.node->state.fleet.configuration() != nullptr;
        }));
}

// A request that reaches a node just before its first configuration was
// refused, which used up the client's retry.
TEST(gateway_start, request_waits_for_the_first_configuration)
{
    gateway_fleet fleet;
    fleet.store.unresponsive = true;
    auto & member = fleet.add("web");
    auto & node = *member.node;
    auto const call = fleet.send(member, "/none/a", "id-1");
    ASSERT_TRUE(fleet.run_until(
        [&node]
        {
            return node.client_listener.pending_count() == 1;
        }));
    auto configuration = std::make_shared<routing_configuration>();
    configuration->version = 4;
    ASSERT_TRUE(node.state.fleet.set_configuration(configuration));
    node.state.notify_configuration();
    ASSERT_TRUE(fleet.run_until(
        [&call]
        {
            return call->result.has_value();
        }));
    EXPECT_EQ(call->result->response.result_int(), 404U)
        << "the configuration has no route, so the request was not refused "
           "before";
}

// A target that restarts has a new ID, and entries of other nodes name the old
// one until the store's change has reached them.
TEST(gateway_start, request_for_a_previous_incarnation_runs_on_the_current_one)
{
    gateway_fleet fleet;
    fleet.start_members(1, "web");
    auto & member = *fleet.members[0];
    detail::dispatch_request request;
    request.message =
        detail::request_message{boost::beast::http::verb::get, "/safe/a", 11};
    request.id = "id-1";
    request.message.set("Request-Id", request.id);
    request.target = target_id("earlier");
    request.route = "safe";
    request.idempotent = true;
    request.urgency.target_time =
        std::chrono::steady_clock::now() + std::chrono::seconds(10);
    request.urgency.deadline = request.urgency.target_time;
    std::vector<detail::dispatch_result> results;
    for (char const * const service : {"other", "web"})
    {
        request.service = service_name(service);
        static_cast<void>(member.node->state.target.run(
            request,
            [&results](detail::dispatch_result result)
            {
                results.push_back(std::move(result));
            },
            [] {}));
        ASSERT_TRUE(fleet.run_until(
            [&results, count = results.size()]
            {
                return results.size() > count;
            }));
    }
    EXPECT_EQ(results[0].refusal, admission_refusal::other_incarnation);
    EXPECT_EQ(results[1].outcome, detail::dispatch_outcome::answered);
    EXPECT_EQ(fleet.execution_count("id-1"), 1U);
}

// After a restart of all nodes, their targets got a few requests a second for
// three seconds, although they had run all the time.
TEST(gateway_start, target_that_ran_before_its_node_is_not_taken_for_cold)
{
    gateway_fleet fleet;
    fleet.start_members(1, "web");
    auto & member = *fleet.members[0];
    auto const restart = [&fleet, &member]
    {
        fleet.restart_node(member);
        return fleet.run_until(
            [&member]
            {
                return member.node->state.target.entry().has_value() &&
                       !member.node->state.target.load().closed;
            });
    };
    EXPECT_TRUE(restart());
    EXPECT_EQ(member.node->state.target.load().start_interval, duration(0));
    member.target->extra_fields["Cold-Ms"] = "60000";
    EXPECT_TRUE(restart());
    EXPECT_GT(member.node->state.target.load().start_interval, duration(0));
}

// The machine of a target was lost and its address went to a node of another
// service: its entry, with the load of the new target, attracted requests for
// as long as it stayed.
TEST(gateway_start, entry_is_not_used_after_its_address_disproved_it)
{
    gateway_fleet fleet;
    fleet.start_members(1, "web");
    auto & other = fleet.add("other");
    auto & entrance = fleet.add("entrance");
    EXPECT_EQ(fleet.report(other, "ready", 1), 200U);
    EXPECT_TRUE(fleet.run_until(
        [&fleet]
        {
            return !fleet.store.spec("targets", "node-1").is_null();
        }));
    auto lost = fleet.store.spec("targets", "node-1");
    lost["service"] = "web";
    lost["target"] = "i-lost";
    fleet.store.put("targets", "node-lost", lost);
    // the entry of the lost machine is all that is left
    EXPECT_EQ(fleet.report(*fleet.members[0], "draining", 2), 200U);
    EXPECT_TRUE(fleet.run_until(
        [&entrance]
        {
            auto const & view = entrance.node->state.fleet;
            auto const ready = view.ready_targets(service_name("web"));
            return view.configuration() && ready.size() == 1 &&
                   ready[0]->id == target_id("i-lost");
        }));
    auto & peer =
        entrance.node->state.peer(other.node->state.settings.peer_listener);
    auto const send = [&fleet, &entrance](std::string const & id)
    {
        return fleet.send_and_wait(entrance, "/safe/a", id)
            .response.result_int();
    };
    EXPECT_EQ(send("id-first"), 503U);
    ASSERT_TRUE(peer.has_disproved(target_id("i-lost")));
    auto const last_contact = peer.load_time();
    for (int i = 0; i < 10; ++i)
    {
        EXPECT_EQ(send("id-" + std::to_string(i)), 503U);
    }
    EXPECT_EQ(peer.load_time(), last_contact) << "a request was sent there";
}

// The snapshot's first page, taken for the whole list, hid all targets of the
// other pages until their entries changed.
TEST(gateway_start, a_list_that_fails_after_its_first_page_hides_no_target)
{
    gateway_fleet fleet;
    fleet.start_members(3, "web");
    // the object of the first page is the newest
    fleet.store.put("targets", "node-0", fleet.store.spec("targets", "node-0"));
    fleet.store.page_size = 1;
    fleet.store.fail_later_pages = true;
    // the store's watcher lists again, so at least one of two nodes depends on
    // its snapshot
    for (int i = 0; i < 2; ++i)
    {
        auto const & node = *fleet.add("other").node;
        ASSERT_TRUE(fleet.run_until(
            [&node]
            {
                return node.state.fleet.configuration() != nullptr;
            }));
    }
    fleet.store.fail_later_pages = false;
    for (std::size_t i = 3; i < fleet.members.size(); ++i)
    {
        auto const & view = fleet.members[i]->node->state.fleet;
        EXPECT_TRUE(fleet.run_until(
            [&view]
            {
                return view.ready_targets(service_name("web")).size() == 3;
            }));
    }
}

// Nodes that are restarted in turn refused requests of other nodes for the two
// seconds in which their clients learn of it, although their targets ran on.
TEST(gateway_stop, a_stopping_node_serves_other_nodes_until_it_drains)
{
    gateway_fleet fleet;
    fleet.start_members(1, "web");
    auto & sender = fleet.add("other");
    ASSERT_TRUE(fleet.run_until(
        [&sender]
        {
            return sender.node->state.fleet.ready_targets(service_name("web"))
                       .size() == 1;
        }));
    auto & stopping = *fleet.members[0]->node;
    stopping.stop([] {});
    EXPECT_EQ(
        fleet.send_and_wait(sender, "/unsafe/a", "id-1").response.result_int(),
        200U);
    stopping.state.stop.drain_start = std::chrono::steady_clock::now();
    auto const refused = fleet.send_and_wait(sender, "/unsafe/a", "id-2");
    EXPECT_EQ(refused.response.result_int(), 503U);
    EXPECT_EQ(fleet.execution_count("id-2"), 0U);
}

} // namespace
} // namespace endivehinge::tests

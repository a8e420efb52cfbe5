#include <gtest/gtest.h>

#include <endivehinge/detail/gateway/hop_fields.hpp>
#include <endivehinge/detail/gateway/in_flight_query.hpp>

#include "gateway/gateway_fleet.hpp"

namespace endivehinge::tests
{
namespace
{

namespace http = boost::beast::http;
using detail::call_status;
using detail::exchange;
using std::chrono::milliseconds;

using held_requests = std::vector<std::shared_ptr<exchange>>;

/// @brief closes the connection in the middle of a response
void send_truncated_response(std::shared_ptr<exchange> const & client)
{
    detail::response_message message{http::status::ok, 11};
    message.set("Request-Id", client->request["Request-Id"]);
    message.set("Server-Stamp", "x");
    message.content_length(1000);
    message.body() = "only a part";
    message.keep_alive(false);
    client->respond(std::move(message));
}

void respond_not_executed(std::shared_ptr<exchange> const & client)
{
    detail::response_message message{http::status::service_unavailable, 11};
    message.set("Not-Executed", "1");
    message.set("Request-Id", client->request["Request-Id"]);
    message.keep_alive(true);
    message.prepare_payload();
    client->respond(std::move(message));
}

// ---------------------------------------------------------------------------
// request routing
// ---------------------------------------------------------------------------

TEST(gateway, node_forwards_request_to_target_of_other_service)
{
    gateway_fleet fleet;
    fleet.start_members(2, "web");
    auto & forwarding_member = fleet.add("other");
    ASSERT_TRUE(fleet.run_until(
        [&forwarding_member]
        {
            return forwarding_member.node->state.fleet
                       .ready_targets(service_name("web"))
                       .size() == 2;
        }));
    auto const result =
        fleet.send_and_wait(forwarding_member, "/safe/a?q=1", "id-1");
    ASSERT_EQ(result.status, call_status::answered);
    EXPECT_EQ(result.response.result_int(), 200U);
    EXPECT_EQ(fleet.execution_count("id-1"), 1U);
    auto const & serving_member =
        fleet.members[0]->target->execution_count("id-1") == 1
            ? *fleet.members[0]
            : *fleet.members[1];
    EXPECT_EQ(result.response.body(), "from " + serving_member.target->id);
    EXPECT_EQ(result.response["Server-Stamp"], serving_member.target->id);
    EXPECT_TRUE(result.response["Endivehinge-Outcome"].empty());
    auto const & forwarded = serving_member.target->last_request;
    EXPECT_EQ(forwarded.target(), "/safe/a?q=1");
    EXPECT_EQ(forwarded["Caller-Service"], "other");
    EXPECT_EQ(forwarded["Request-Id"], "id-1");
    EXPECT_TRUE(forwarded["Endivehinge-Target"].empty());
    EXPECT_LE(std::stoi(std::string(forwarded["Deadline-Ms"])), 2000)
        << "the route timeout must bound the forwarded deadline";
}

TEST(gateway, path_without_route_returns_404)
{
    gateway_fleet fleet;
    fleet.start_members(1, "web");
    EXPECT_EQ(fleet.send_and_wait(*fleet.members[0], "/none/a", "id-1")
                  .response.result_int(),
              404U);
}

TEST(gateway, node_without_configuration_returns_503)
{
    gateway_fleet fleet;
    auto & member = fleet.add("web");
    auto const result = fleet.send_and_wait(member, "/safe/a", "id-1");
    EXPECT_EQ(result.response.result_int(), 503U);
    EXPECT_FALSE(result.response["Retry-After"].empty());
}

// ---------------------------------------------------------------------------
// failures of targets
// ---------------------------------------------------------------------------

TEST(gateway, unsafe_request_with_unknown_outcome_is_not_retried)
{
    gateway_fleet fleet;
    fleet.start_members(3, "web");
    for (auto const & member : fleet.members)
    {
        member->target->request_hook = send_truncated_response;
    }
    auto const result =
        fleet.send_and_wait(*fleet.members[0], "/unsafe/a", "id-1");
    EXPECT_EQ(result.response.result_int(), 502U);
    EXPECT_EQ(fleet.execution_count("id-1"), 1U);
}

TEST(gateway, safe_request_is_retried_up_to_route_limit)
{
    gateway_fleet fleet;
    fleet.start_members(3, "web");
    for (auto const & member : fleet.members)
    {
        member->target->request_hook = send_truncated_response;
    }
    EXPECT_EQ(fleet.send_and_wait(*fleet.members[0], "/safe/a", "id-1")
                  .response.result_int(),
              502U);
    EXPECT_EQ(fleet.execution_count("id-1"), 2U)
        << "the route allows two attempts";
}

TEST(gateway, connection_reset_does_not_exceed_attempt_limit)
{
    gateway_fleet fleet;
    fleet.use_target_relays = true;
    fleet.start_members(2, "web");
    for (auto const & member : fleet.members)
    {
        member->target->request_hook =
            [link = member->target_link.get()](
                std::shared_ptr<exchange> const & incoming)
        {
            static_cast<void>(incoming);
            link->reset_connections();
        };
    }
    auto const result =
        fleet.send_and_wait(*fleet.members[0], "/safe/a", "id-1");
    EXPECT_EQ(result.response.result_int(), 502U);
    EXPECT_EQ(fleet.execution_count("id-1"), 2U);
}

TEST(gateway, truncated_response_returns_502)
{
    gateway_fleet fleet;
    fleet.start_members(1, "web");
    fleet.members[0]->target->request_hook = send_truncated_response;
    auto const result =
        fleet.send_and_wait(*fleet.members[0], "/safe/a", "id-1");
    EXPECT_EQ(result.response.result_int(), 502U);
    EXPECT_TRUE(result.response["Server-Stamp"].empty());
}

TEST(gateway, request_shed_by_all_targets_returns_503)
{
    gateway_fleet fleet;
    fleet.start_members(2, "web");
    for (auto const & member : fleet.members)
    {
        member->target->request_hook = respond_not_executed;
    }
    auto const result =
        fleet.send_and_wait(*fleet.members[0], "/unsafe/a", "id-1");
    EXPECT_EQ(result.response.result_int(), 503U);
    EXPECT_FALSE(result.response["Retry-After"].empty());
}

TEST(gateway, error_status_of_target_is_forwarded)
{
    gateway_fleet fleet;
    fleet.start_members(1, "web");
    auto & member = *fleet.members[0];
    member.target->request_hook =
        [&member](std::shared_ptr<exchange> const & client)
    {
        member.target->respond(*client, 500);
    };
    auto const result = fleet.send_and_wait(member, "/unsafe/a", "id-1");
    EXPECT_EQ(result.response.result_int(), 500U);
    EXPECT_EQ(result.response["Server-Stamp"], member.target->id);
}

TEST(gateway, client_disconnect_cancels_request_at_target)
{
    gateway_fleet fleet;
    fleet.start_members(2, "web");
    held_requests held;
    for (auto const & member : fleet.members)
    {
        member->target->request_hook =
            [&held](std::shared_ptr<exchange> const & client)
        {
            held.push_back(client);
        };
    }
    auto const call = fleet.send(*fleet.members[0], "/safe/a", "id-1");
    ASSERT_TRUE(fleet.run_until(
        [&held]
        {
            return held.size() == 1;
        }));
    call->connection->cancel();
    EXPECT_TRUE(fleet.run_until(
        [&fleet]
        {
            return fleet.members[0]->target->cancelled_count +
                       fleet.members[1]->target->cancelled_count ==
                   1;
        }));
}

TEST(gateway, request_for_old_target_incarnation_is_not_executed)
{
    gateway_fleet fleet;
    fleet.start_members(1, "web");
    auto & member = *fleet.members[0];
    member.target->id = "i-later";
    auto const refused_result =
        fleet.send_and_wait(member, "/unsafe/a", "id-1");
    EXPECT_EQ(refused_result.response.result_int(), 503U);
    EXPECT_EQ(fleet.execution_count("id-1"), 0U);
    // its health responses alone do not show that it is of the same service
    auto const probes = member.target->probe_count;
    ASSERT_TRUE(fleet.run_until(
        [&member, probes]
        {
            return member.target->probe_count > probes + 2;
        }));
    EXPECT_FALSE(member.node->state.target.entry().has_value());
    EXPECT_EQ(fleet.report(member, "ready", 1), 200U);
    auto const entry = member.node->state.target.entry();
    ASSERT_TRUE(entry.has_value());
    EXPECT_EQ(entry->id, target_id("i-later"));
    EXPECT_EQ(
        fleet.send_and_wait(member, "/unsafe/a", "id-2").response.result_int(),
        200U);
}

// ---------------------------------------------------------------------------
// drain, evacuation and shutdown
// ---------------------------------------------------------------------------

TEST(gateway, draining_target_gets_no_requests_after_confirmation)
{
    gateway_fleet fleet;
    fleet.start_members(2, "web");
    auto & leaving_member = *fleet.members[0];
    EXPECT_EQ(fleet.report(leaving_member, "draining", 2), 200U);
    EXPECT_EQ(fleet.store.spec("targets", "node-0").at("state"), "draining")
        << "the confirmation must follow the write to the store";
    leaving_member.target->executed_ids.clear();
    for (int i = 0; i < 20; ++i)
    {
        auto const result = fleet.send_and_wait(
            leaving_member, "/safe/a", "id-" + std::to_string(i));
        EXPECT_EQ(result.response.result_int(), 200U);
    }
    EXPECT_TRUE(leaving_member.target->executed_ids.empty());
}

TEST(gateway, leave_takes_effect_while_store_is_unavailable)
{
    gateway_fleet fleet;
    fleet.start_members(2, "web");
    fleet.store.unresponsive = true;
    auto & leaving_member = *fleet.members[0];
    // nothing would tell it to the next process of the node
    EXPECT_EQ(fleet.report(leaving_member, "leave", 2), 503U);
    leaving_member.target->executed_ids.clear();
    for (int i = 0; i < 10; ++i)
    {
        static_cast<void>(fleet.send_and_wait(
            *fleet.members[1], "/safe/a", "id-" + std::to_string(i)));
    }
    EXPECT_TRUE(leaving_member.target->executed_ids.empty());
    fleet.store.unresponsive = false;
    EXPECT_TRUE(fleet.run_until(
        [&fleet, &leaving_member]
        {
            return fleet.report(leaving_member, "leave", 2) == 200U;
        }));
}

TEST(gateway, evacuated_domain_gets_no_requests_until_restored)
{
    gateway_fleet fleet;
    fleet.configure(1, "web");
    auto & active_member = fleet.add("web", "d1");
    auto & evacuated_member = fleet.add("web", "d2");
    fleet.report(active_member, "ready", 1);
    fleet.report(evacuated_member, "ready", 1);
    fleet.store.put("evacuations", "d2", nlohmann::json::object());
    auto const wait_for_evacuation_state = [&](bool expected)
    {
        return fleet.run_until(
            [&, expected]
            {
                return evacuated_member.node->state.fleet.is_evacuated(
                           failure_domain("d2")) == expected &&
                       active_member.node->state.fleet.is_evacuated(
                           failure_domain("d2")) == expected;
            });
    };
    ASSERT_TRUE(wait_for_evacuation_state(true));
    evacuated_member.target->executed_ids.clear();
    for (int i = 0; i < 10; ++i)
    {
        static_cast<void>(fleet.send_and_wait(
            evacuated_member, "/safe/a", "id-" + std::to_string(i)));
    }
    EXPECT_TRUE(evacuated_member.target->executed_ids.empty());
    fleet.store.erase("evacuations", "d2");
    ASSERT_TRUE(wait_for_evacuation_state(false));
    EXPECT_FALSE(evacuated_member.node->state.target.load().closed);
}

TEST(gateway, stopping_node_completes_requests_in_progress)
{
    gateway_fleet fleet;
    fleet.start_members(2, "web");
    auto & member = *fleet.members[0];
    held_requests held;
    for (auto const & fleet_node : fleet.members)
    {
        fleet_node->target->request_hook =
            [&held](std::shared_ptr<exchange> const & client)
        {
            held.push_back(client);
        };
    }
    auto const call = fleet.send(member, "/unsafe/a", "id-1");
    ASSERT_TRUE(fleet.run_until(
        [&held]
        {
            return held.size() == 1;
        }));
    bool stopped = false;
    member.node->stop(
        [&stopped]
        {
            stopped = true;
        });
    fleet.run_for(milliseconds(100));
    EXPECT_FALSE(stopped);
    auto & target = fleet.members[0]->target->execution_count("id-1") == 1
                        ? *fleet.members[0]->target
                        : *fleet.members[1]->target;
    target.respond(*held[0], 200);
    ASSERT_TRUE(fleet.run_until(
        [&call]
        {
            return call->result.has_value();
        }));
    EXPECT_EQ(call->result->response.result_int(), 200U);
    EXPECT_TRUE(fleet.run_until(
        [&stopped]
        {
            return stopped;
        }));
}

TEST(gateway, stopping_node_refuses_request_beyond_stop_deadline)
{
    gateway_fleet fleet;
    fleet.start_members(1, "web");
    auto & member = *fleet.members[0];
    member.node->state.settings.bounds.stop_grace = milliseconds(1500);
    member.node->stop([] {});
    // the route timeout of 2 s ends after the stop deadline
    auto const result = fleet.send_and_wait(member, "/unsafe/a", "id-1");
    EXPECT_EQ(result.response.result_int(), 503U);
    EXPECT_EQ(fleet.execution_count("id-1"), 0U);
}

// ---------------------------------------------------------------------------
// faults of the store
// ---------------------------------------------------------------------------

bool has_configuration_version(fleet_member const & member,
                               std::uint64_t version)
{
    auto const & configuration = member.node->state.fleet.configuration();
    return configuration && configuration->version >= version;
}

TEST(gateway, empty_watch_response_does_not_skip_change)
{
    gateway_fleet fleet;
    fleet.start_members(1, "web");
    auto & member = *fleet.members[0];
    fleet.run_for(milliseconds(300));
    fleet.store.withhold_events = true;
    fleet.store.put("evacuations", "d1", nlohmann::json::object());
    fleet.store.discard_history();
    // the response has the revision of the change but not the change itself
    fleet.store.end_watches_without_events();
    fleet.store.withhold_events = false;
    EXPECT_TRUE(fleet.run_until(
        [&member]
        {
            return member.node->state.fleet.is_evacuated(failure_domain("d1"));
        }));
}

TEST(gateway, interrupted_watch_is_followed_by_list)
{
    gateway_fleet fleet;
    fleet.start_members(1, "web");
    auto & member = *fleet.members[0];
    fleet.run_for(milliseconds(300));
    fleet.store.withhold_events = true;
    fleet.store.put("evacuations", "d1", nlohmann::json::object());
    fleet.store.close_watch_connections();
    // watches still receive no changes, so the change must come from a list
    EXPECT_TRUE(fleet.run_until(
        [&member]
        {
            return member.node->state.fleet.is_evacuated(failure_domain("d1"));
        }));
}

TEST(gateway, nodes_serve_requests_while_store_is_unavailable)
{
    gateway_fleet fleet;
    fleet.start_members(2, "web");
    fleet.store.status = 503;
    fleet.store.close_watch_connections();
    fleet.run_for(milliseconds(200));
    EXPECT_EQ(fleet.send_and_wait(*fleet.members[0], "/safe/a", "id-1")
                  .response.result_int(),
              200U);
    fleet.store.status = 0;
    fleet.configure(2, "web");
    EXPECT_TRUE(fleet.run_until(
        [&fleet]
        {
            return has_configuration_version(*fleet.members[0], 2) &&
                   has_configuration_version(*fleet.members[1], 2);
        }));
}

TEST(gateway, only_one_node_of_a_domain_watches_the_store)
{
    gateway_fleet fleet;
    fleet.start_members(4, "web");
    fleet.run_for(std::chrono::seconds(3));
    auto const calls_before = fleet.store.request_count();
    fleet.configure(2, "web");
    ASSERT_TRUE(fleet.run_until(
        [&fleet]
        {
            for (auto const & member : fleet.members)
            {
                if (!has_configuration_version(*member, 2))
                {
                    return false;
                }
            }
            return true;
        }));
    EXPECT_LE(fleet.store.request_count() - calls_before, 4U)
        << "only one node may call the store for the change";
}

TEST(gateway, entry_removed_from_store_is_rewritten)
{
    gateway_fleet fleet;
    fleet.start_members(2, "web");
    fleet.store.erase("targets", "node-1");
    EXPECT_TRUE(fleet.run_until(
        [&fleet]
        {
            return !fleet.store.spec("targets", "node-1").is_null();
        }));
}

TEST(gateway, entry_is_correct_after_lost_write_response)
{
    gateway_fleet fleet;
    fleet.start_members(1, "web");
    fleet.store.responses_to_drop = 1;
    // the report that is confirmed may be the next one
    EXPECT_TRUE(fleet.run_until(
        [&fleet]
        {
            return fleet.report(*fleet.members[0], "draining", 2) == 200U;
        }));
    EXPECT_EQ(fleet.store.spec("targets", "node-0").at("state"), "draining");
}

// An operator's cleanup may remove the entry after the write is stored and
// before its response arrives.
TEST(gateway, entry_removed_before_write_response_is_rewritten)
{
    gateway_fleet fleet;
    fleet.start_members(1, "web");
    fleet.store.responses_to_hold = 1;
    static_cast<void>(fleet.report(*fleet.members[0], "draining", 2));
    ASSERT_TRUE(fleet.run_until(
        [&fleet]
        {
            return fleet.store.spec("targets", "node-0").at("state") ==
                   "draining";
        }));
    // the watch has returned the write, and the next watch is waiting
    fleet.run_for(milliseconds(400));
    fleet.store.erase("targets", "node-0");
    fleet.run_for(milliseconds(200));
    fleet.store.send_held_responses();
    EXPECT_TRUE(fleet.run_until(
        [&fleet]
        {
            return !fleet.store.spec("targets", "node-0").is_null();
        }));
}

// A hanging store never responds to a call that it has accepted, so the watch
// must time out before the missing entry is noticed.
TEST(gateway, entry_removed_while_store_hangs_is_rewritten)
{
    gateway_fleet fleet;
    fleet.start_members(1, "web");
    // the next watch starts while the store hangs
    fleet.store.put("targets", "node-9", fleet.store.spec("targets", "node-0"));
    fleet.run_for(milliseconds(20));
    fleet.store.unresponsive = true;
    fleet.run_for(milliseconds(400));
    fleet.store.erase("targets", "node-0");
    fleet.run_for(milliseconds(100));
    fleet.store.unresponsive = false;
    EXPECT_TRUE(fleet.run_until(
        [&fleet]
        {
            return !fleet.store.spec("targets", "node-0").is_null();
        }));
}

// While a node's watch hangs, its entry is written and removed; no watch or
// list ever returns the entry.
TEST(gateway, entry_removed_before_any_read_is_rewritten)
{
    gateway_fleet fleet;
    fleet.start_members(1, "web");
    auto & second_member = fleet.add("web", "d2");
    ASSERT_TRUE(fleet.run_until(
        [&second_member]
        {
            return second_member.node->state.fleet
                       .ready_targets(service_name("web"))
                       .size() == 1;
        }));
    // the next watch starts while the store hangs
    fleet.store.put("targets", "node-9", fleet.store.spec("targets", "node-0"));
    fleet.run_for(milliseconds(20));
    fleet.store.unresponsive = true;
    fleet.run_for(milliseconds(400));
    fleet.store.unresponsive = false;
    EXPECT_EQ(fleet.report(second_member, "ready", 1), 200U);
    ASSERT_TRUE(fleet.run_until(
        [&fleet]
        {
            return !fleet.store.spec("targets", "node-1").is_null();
        }));
    fleet.run_for(milliseconds(50));
    fleet.store.erase("targets", "node-1");
    EXPECT_TRUE(fleet.run_until(
        [&fleet]
        {
            return !fleet.store.spec("targets", "node-1").is_null();
        }));
}

TEST(gateway, older_configuration_is_ignored)
{
    gateway_fleet fleet;
    fleet.start_members(1, "web");
    fleet.configure(5, "web");
    ASSERT_TRUE(fleet.run_until(
        [&fleet]
        {
            return has_configuration_version(*fleet.members[0], 5);
        }));
    fleet.configure(4, "web");
    fleet.run_for(milliseconds(500));
    EXPECT_TRUE(has_configuration_version(*fleet.members[0], 5));
}

// ---------------------------------------------------------------------------
// slow targets and unreachable nodes
// ---------------------------------------------------------------------------

TEST(gateway, requests_avoid_slow_target)
{
    gateway_fleet fleet;
    fleet.start_members(2, "web");
    for (auto const & member : fleet.members)
    {
        member->target->slowdown = 100;
        static_cast<void>(fleet.send_and_wait(*member, "/safe/warm", "warm"));
    }
    auto & slow_member = *fleet.members[0];
    slow_member.target->slowdown = 500;
    slow_member.target->executed_ids.clear();
    fleet.run_for(milliseconds(400));
    for (int i = 0; i < 20; ++i)
    {
        EXPECT_EQ(fleet
                      .send_and_wait(
                          slow_member, "/safe/a", "id-" + std::to_string(i))
                      .response.result_int(),
                  200U);
    }
    EXPECT_TRUE(slow_member.target->executed_ids.empty());
}

TEST(gateway, requests_avoid_unreachable_node)
{
    gateway_fleet fleet;
    fleet.start_members(2, "web");
    auto & unreachable_member = *fleet.members[1];
    unreachable_member.node->peer_listener.close();
    unreachable_member.node->peer_listener.finish();
    for (int i = 0; i < 10; ++i)
    {
        EXPECT_EQ(fleet
                      .send_and_wait(*fleet.members[0],
                                     "/unsafe/a",
                                     "id-" + std::to_string(i))
                      .response.result_int(),
                  200U);
        EXPECT_EQ(fleet.execution_count("id-" + std::to_string(i)), 1U);
    }
}

// A node that queries an in-flight request which has not arrived fences it: if
// the request arrives later, it must not be executed.
TEST(gateway, fenced_request_is_not_executed_on_late_arrival)
{
    gateway_fleet fleet;
    fleet.start_members(1, "web");
    auto & member = *fleet.members[0];
    detail::dispatch_request request;
    request.message =
        detail::request_message{http::verb::post, "/unsafe/a", 11};
    request.message.set("Request-Id", "id-1");
    request.id = "id-1";
    request.in_flight_id = "process-7";
    request.target = target_id(member.target->id);
    request.route = "unsafe";
    auto const now = std::chrono::steady_clock::now();
    request.urgency = {
        1, now + std::chrono::seconds(1), now + std::chrono::seconds(2)};
    detail::write_hop_request(request, {}, now);
    request.message.prepare_payload();
    detail::upstream peer(fleet.io,
                          member.node->state.settings.peer_listener,
                          detail::upstream_options{});
    auto const send_and_wait = [&fleet, &peer](detail::request_message message)
    {
        detail::call_options options;
        options.deadline =
            std::chrono::steady_clock::now() + std::chrono::seconds(5);
        std::optional<detail::call_result> received;
        auto const call = peer.send(std::move(message),
                                    options,
                                    true,
                                    [&received](detail::call_result result)
                                    {
                                        received = std::move(result);
                                    });
        EXPECT_TRUE(fleet.run_until(
            [&received]
            {
                return received.has_value();
            }));
        return received->response;
    };
    auto const query =
        detail::in_flight_query::write_request({"process-7"}, duration(0));
    EXPECT_EQ(
        detail::in_flight_query::read(send_and_wait(query), 1),
        std::vector<in_flight_request_state>{in_flight_request_state::fenced});
    // the delayed request arrives after the query
    detail::replica_versions versions;
    auto const delayed_result =
        detail::read_hop_result(send_and_wait(request.message), versions);
    ASSERT_TRUE(delayed_result.has_value());
    EXPECT_EQ(delayed_result->outcome, detail::dispatch_outcome::refused);
    EXPECT_EQ(delayed_result->reason, "fenced");
    EXPECT_EQ(fleet.execution_count("id-1"), 0U);
}

} // namespace
} // namespace endivehinge::tests

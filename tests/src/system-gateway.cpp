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

/// @brief ends the connection in the middle of a response
void break_off(std::shared_ptr<exchange> const & client)
{
    detail::response_message message{http::status::ok, 11};
    message.set("Request-Id", client->request["Request-Id"]);
    message.set("Server-Stamp", "x");
    message.content_length(1000);
    message.body() = "only a part";
    message.keep_alive(false);
    client->respond(std::move(message));
}

void shed(std::shared_ptr<exchange> const & client)
{
    detail::response_message message{http::status::service_unavailable, 11};
    message.set("Not-Executed", "1");
    message.set("Request-Id", client->request["Request-Id"]);
    message.keep_alive(true);
    message.prepare_payload();
    client->respond(std::move(message));
}

// ---------------------------------------------------------------------------
// the path of a request
// ---------------------------------------------------------------------------

TEST(gateway, every_node_serves_requests_of_a_service)
{
    gateway_fleet fleet;
    fleet.settle(2, "web");
    auto & other = fleet.add("other");
    ASSERT_TRUE(fleet.run_until(
        [&other]
        {
            return other.node->state.fleet.ready_targets(service_name("web"))
                       .size() == 2;
        }));
    auto const result = fleet.ask(other, "/safe/a?q=1", "id-1");
    ASSERT_EQ(result.status, call_status::answered);
    EXPECT_EQ(result.response.result_int(), 200U);
    EXPECT_EQ(fleet.runs_of("id-1"), 1U);
    auto const & served = fleet.members[0]->target->runs_of("id-1") == 1
                              ? *fleet.members[0]
                              : *fleet.members[1];
    EXPECT_EQ(result.response.body(), "from " + served.target->id);
    EXPECT_EQ(result.response["Server-Stamp"], served.target->id);
    EXPECT_TRUE(result.response["Endivehinge-Outcome"].empty());
    auto const & seen = served.target->last;
    EXPECT_EQ(seen.target(), "/safe/a?q=1");
    EXPECT_EQ(seen["Caller-Service"], "other");
    EXPECT_EQ(seen["Request-Id"], "id-1");
    EXPECT_TRUE(seen["Endivehinge-Target"].empty());
    EXPECT_LE(std::stoi(std::string(seen["Deadline-Ms"])), 2000)
        << "the route's timeout bounds the time left";
}

TEST(gateway, a_path_without_a_route_is_not_found)
{
    gateway_fleet fleet;
    fleet.settle(1, "web");
    EXPECT_EQ(
        fleet.ask(*fleet.members[0], "/none/a", "id-1").response.result_int(),
        404U);
}

TEST(gateway, a_node_without_a_configuration_refuses_and_is_not_ready)
{
    gateway_fleet fleet;
    auto & member = fleet.add("web");
    auto const result = fleet.ask(member, "/safe/a", "id-1");
    EXPECT_EQ(result.response.result_int(), 503U);
    EXPECT_FALSE(result.response["Retry-After"].empty());
}

// ---------------------------------------------------------------------------
// failures of targets
// ---------------------------------------------------------------------------

TEST(gateway, an_unsafe_request_with_an_unknown_outcome_runs_once)
{
    gateway_fleet fleet;
    fleet.settle(3, "web");
    for (auto const & member : fleet.members)
    {
        member->target->habit = break_off;
    }
    auto const result = fleet.ask(*fleet.members[0], "/unsafe/a", "id-1");
    EXPECT_EQ(result.response.result_int(), 502U);
    EXPECT_EQ(fleet.runs_of("id-1"), 1U);
}

TEST(gateway, a_safe_request_is_sent_again_within_its_attempts)
{
    gateway_fleet fleet;
    fleet.settle(3, "web");
    for (auto const & member : fleet.members)
    {
        member->target->habit = break_off;
    }
    EXPECT_EQ(
        fleet.ask(*fleet.members[0], "/safe/a", "id-1").response.result_int(),
        502U);
    EXPECT_EQ(fleet.runs_of("id-1"), 2U) << "the route allows two";
}

TEST(gateway, connections_that_are_reset_add_no_attempts)
{
    gateway_fleet fleet;
    fleet.relays_targets = true;
    fleet.settle(2, "web");
    for (auto const & member : fleet.members)
    {
        member->target->habit = [link = member->target_link.get()](
                                    std::shared_ptr<exchange> const & incoming)
        {
            static_cast<void>(incoming);
            link->reset_connections();
        };
    }
    auto const result = fleet.ask(*fleet.members[0], "/safe/a", "id-1");
    EXPECT_EQ(result.response.result_int(), 502U);
    EXPECT_EQ(fleet.runs_of("id-1"), 2U);
}

TEST(gateway, a_broken_response_is_never_delivered_as_a_whole_one)
{
    gateway_fleet fleet;
    fleet.settle(1, "web");
    fleet.members[0]->target->habit = break_off;
    auto const result = fleet.ask(*fleet.members[0], "/safe/a", "id-1");
    EXPECT_EQ(result.response.result_int(), 502U);
    EXPECT_TRUE(result.response["Server-Stamp"].empty());
}

TEST(gateway, a_request_that_targets_shed_is_refused_as_not_run)
{
    gateway_fleet fleet;
    fleet.settle(2, "web");
    for (auto const & member : fleet.members)
    {
        member->target->habit = shed;
    }
    auto const result = fleet.ask(*fleet.members[0], "/unsafe/a", "id-1");
    EXPECT_EQ(result.response.result_int(), 503U);
    EXPECT_FALSE(result.response["Retry-After"].empty());
}

TEST(gateway, a_failure_of_the_target_keeps_its_status)
{
    gateway_fleet fleet;
    fleet.settle(1, "web");
    auto & member = *fleet.members[0];
    member.target->habit = [&member](std::shared_ptr<exchange> const & client)
    {
        member.target->respond(*client, 500);
    };
    auto const result = fleet.ask(member, "/unsafe/a", "id-1");
    EXPECT_EQ(result.response.result_int(), 500U);
    EXPECT_EQ(result.response["Server-Stamp"], member.target->id);
}

TEST(gateway, a_request_that_a_client_leaves_is_cancelled_at_the_target)
{
    gateway_fleet fleet;
    fleet.settle(2, "web");
    held_requests held;
    for (auto const & member : fleet.members)
    {
        member->target->habit =
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
            return fleet.members[0]->target->cancelled +
                       fleet.members[1]->target->cancelled ==
                   1;
        }));
}

TEST(gateway, a_target_that_is_another_run_does_not_run_the_request)
{
    gateway_fleet fleet;
    fleet.settle(1, "web");
    auto & member = *fleet.members[0];
    member.target->id = "i-later";
    auto const first = fleet.ask(member, "/unsafe/a", "id-1");
    EXPECT_EQ(first.response.result_int(), 503U);
    EXPECT_EQ(fleet.runs_of("id-1"), 0U);
    ASSERT_TRUE(fleet.run_until(
        [&member]
        {
            auto const entry = member.node->state.target.entry();
            return entry && entry->id == target_id("i-later");
        }))
        << "the health probe names the run";
    EXPECT_EQ(fleet.ask(member, "/unsafe/a", "id-2").response.result_int(),
              200U);
}

// ---------------------------------------------------------------------------
// drains, evacuations and stops
// ---------------------------------------------------------------------------

TEST(gateway, a_target_that_drains_gets_no_request_after_the_confirmation)
{
    gateway_fleet fleet;
    fleet.settle(2, "web");
    auto & leaving = *fleet.members[0];
    EXPECT_EQ(fleet.report(leaving, "draining", 2), 200U);
    EXPECT_EQ(fleet.store.spec("targets", "node-0").at("state"), "draining")
        << "the confirmation comes after the store holds it";
    leaving.target->ran.clear();
    for (int i = 0; i < 20; ++i)
    {
        auto const result =
            fleet.ask(leaving, "/safe/a", "id-" + std::to_string(i));
        EXPECT_EQ(result.response.result_int(), 200U);
    }
    EXPECT_TRUE(leaving.target->ran.empty());
}

TEST(gateway, a_drain_is_confirmed_and_holds_while_the_store_is_away)
{
    gateway_fleet fleet;
    fleet.settle(2, "web");
    fleet.store.unresponsive = true;
    auto & leaving = *fleet.members[0];
    EXPECT_EQ(fleet.report(leaving, "leave", 2), 200U);
    leaving.target->ran.clear();
    for (int i = 0; i < 10; ++i)
    {
        static_cast<void>(
            fleet.ask(*fleet.members[1], "/safe/a", "id-" + std::to_string(i)));
    }
    EXPECT_TRUE(leaving.target->ran.empty());
}

TEST(gateway, an_evacuated_domain_gets_nothing_until_it_is_taken_back)
{
    gateway_fleet fleet;
    fleet.configure(1, "web");
    auto & stays = fleet.add("web", "d1");
    auto & leaves = fleet.add("web", "d2");
    fleet.report(stays, "ready", 1);
    fleet.report(leaves, "ready", 1);
    fleet.store.put("evacuations", "d2", nlohmann::json::object());
    auto const evacuated = [&](bool out)
    {
        return fleet.run_until(
            [&, out]
            {
                return leaves.node->state.fleet.is_evacuated(
                           failure_domain("d2")) == out &&
                       stays.node->state.fleet.is_evacuated(
                           failure_domain("d2")) == out;
            });
    };
    ASSERT_TRUE(evacuated(true));
    leaves.target->ran.clear();
    for (int i = 0; i < 10; ++i)
    {
        static_cast<void>(
            fleet.ask(leaves, "/safe/a", "id-" + std::to_string(i)));
    }
    EXPECT_TRUE(leaves.target->ran.empty());
    fleet.store.erase("evacuations", "d2");
    ASSERT_TRUE(evacuated(false));
    EXPECT_FALSE(leaves.node->state.target.load().closed);
}

TEST(gateway, a_node_that_stops_ends_what_it_has_begun)
{
    gateway_fleet fleet;
    fleet.settle(2, "web");
    auto & member = *fleet.members[0];
    held_requests held;
    for (auto const & one : fleet.members)
    {
        one->target->habit = [&held](std::shared_ptr<exchange> const & client)
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
    auto & target = fleet.members[0]->target->runs_of("id-1") == 1
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

TEST(gateway, a_node_that_stops_refuses_what_would_outlast_it)
{
    gateway_fleet fleet;
    fleet.settle(1, "web");
    auto & member = *fleet.members[0];
    member.node->state.settings.bounds.stop_grace = milliseconds(1500);
    member.node->stop([] {});
    // the route's timeout of two seconds is later than the end
    auto const result = fleet.ask(member, "/unsafe/a", "id-1");
    EXPECT_EQ(result.response.result_int(), 503U);
    EXPECT_EQ(fleet.runs_of("id-1"), 0U);
}

// ---------------------------------------------------------------------------
// the store's faults
// ---------------------------------------------------------------------------

bool knows_version(fleet_member const & member, std::uint64_t version)
{
    auto const & known = member.node->state.fleet.configuration();
    return known && known->version >= version;
}

TEST(gateway, a_watch_that_ends_empty_does_not_hide_a_change)
{
    gateway_fleet fleet;
    fleet.settle(1, "web");
    auto & member = *fleet.members[0];
    fleet.run_for(milliseconds(300));
    fleet.store.withhold_events = true;
    fleet.store.put("evacuations", "d1", nlohmann::json::object());
    fleet.store.discard_history();
    // names the revision of the change and does not show it
    fleet.store.end_watches_without_events();
    fleet.store.withhold_events = false;
    EXPECT_TRUE(fleet.run_until(
        [&member]
        {
            return member.node->state.fleet.is_evacuated(failure_domain("d1"));
        }));
}

TEST(gateway, a_list_follows_a_watch_that_was_cut)
{
    gateway_fleet fleet;
    fleet.settle(1, "web");
    auto & member = *fleet.members[0];
    fleet.run_for(milliseconds(300));
    fleet.store.withhold_events = true;
    fleet.store.put("evacuations", "d1", nlohmann::json::object());
    fleet.store.close_watch_connections();
    // new watches still hear nothing
    EXPECT_TRUE(fleet.run_until(
        [&member]
        {
            return member.node->state.fleet.is_evacuated(failure_domain("d1"));
        }));
}

TEST(gateway, nodes_serve_on_while_the_store_is_away)
{
    gateway_fleet fleet;
    fleet.settle(2, "web");
    fleet.store.status = 503;
    fleet.store.close_watch_connections();
    fleet.run_for(milliseconds(200));
    EXPECT_EQ(
        fleet.ask(*fleet.members[0], "/safe/a", "id-1").response.result_int(),
        200U);
    fleet.store.status = 0;
    fleet.configure(2, "web");
    EXPECT_TRUE(fleet.run_until(
        [&fleet]
        {
            return knows_version(*fleet.members[0], 2) &&
                   knows_version(*fleet.members[1], 2);
        }));
}

TEST(gateway, one_node_of_a_domain_follows_the_store_for_the_others)
{
    gateway_fleet fleet;
    fleet.settle(4, "web");
    fleet.run_for(std::chrono::seconds(3));
    auto const before = fleet.store.request_count();
    fleet.configure(2, "web");
    ASSERT_TRUE(fleet.run_until(
        [&fleet]
        {
            for (auto const & member : fleet.members)
            {
                if (!knows_version(*member, 2))
                {
                    return false;
                }
            }
            return true;
        }));
    EXPECT_LE(fleet.store.request_count() - before, 4U)
        << "the change costs calls of one node";
}

TEST(gateway, an_entry_that_the_store_lost_is_written_again)
{
    gateway_fleet fleet;
    fleet.settle(2, "web");
    fleet.store.erase("targets", "node-1");
    EXPECT_TRUE(fleet.run_until(
        [&fleet]
        {
            return !fleet.store.spec("targets", "node-1").is_null();
        }));
}

TEST(gateway, a_write_whose_answer_is_lost_ends_with_the_right_entry)
{
    gateway_fleet fleet;
    fleet.settle(1, "web");
    fleet.store.responses_to_drop = 1;
    EXPECT_EQ(fleet.report(*fleet.members[0], "draining", 2), 200U);
    EXPECT_TRUE(fleet.run_until(
        [&fleet]
        {
            return fleet.store.spec("targets", "node-0").at("state") ==
                   "draining";
        }));
}

// the operators' cleaning may come between a write and its late answer
TEST(gateway, an_entry_that_lapses_before_its_write_is_answered_comes_back)
{
    gateway_fleet fleet;
    fleet.settle(1, "web");
    fleet.store.responses_to_hold = 1;
    static_cast<void>(fleet.report(*fleet.members[0], "draining", 2));
    ASSERT_TRUE(fleet.run_until(
        [&fleet]
        {
            return fleet.store.spec("targets", "node-0").at("state") ==
                   "draining";
        }));
    // the watch has shown the write, and waits again
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

// a call that a hanging store has taken is never answered
TEST(gateway, an_entry_that_lapses_while_the_store_hangs_comes_back)
{
    gateway_fleet fleet;
    fleet.settle(1, "web");
    // the next watch begins while the store hangs
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

// a node whose watch hangs writes its entry; it sees neither that nor the lapse
TEST(gateway, an_entry_that_no_view_of_the_store_has_shown_comes_back)
{
    gateway_fleet fleet;
    fleet.settle(1, "web");
    auto & late = fleet.add("web", "d2");
    ASSERT_TRUE(fleet.run_until(
        [&late]
        {
            return late.node->state.fleet.ready_targets(service_name("web"))
                       .size() == 1;
        }));
    // the next watch begins while the store hangs
    fleet.store.put("targets", "node-9", fleet.store.spec("targets", "node-0"));
    fleet.run_for(milliseconds(20));
    fleet.store.unresponsive = true;
    fleet.run_for(milliseconds(400));
    fleet.store.unresponsive = false;
    EXPECT_EQ(fleet.report(late, "ready", 1), 200U);
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

TEST(gateway, an_older_configuration_never_replaces_a_newer_one)
{
    gateway_fleet fleet;
    fleet.settle(1, "web");
    fleet.configure(5, "web");
    ASSERT_TRUE(fleet.run_until(
        [&fleet]
        {
            return knows_version(*fleet.members[0], 5);
        }));
    fleet.configure(4, "web");
    fleet.run_for(milliseconds(500));
    EXPECT_TRUE(knows_version(*fleet.members[0], 5));
}

// ---------------------------------------------------------------------------
// slow targets and lost nodes
// ---------------------------------------------------------------------------

TEST(gateway, work_goes_to_the_target_that_is_fast_now)
{
    gateway_fleet fleet;
    fleet.settle(2, "web");
    for (auto const & member : fleet.members)
    {
        member->target->slowdown = 100;
        static_cast<void>(fleet.ask(*member, "/safe/warm", "warm"));
    }
    auto & slow = *fleet.members[0];
    slow.target->slowdown = 500;
    slow.target->ran.clear();
    fleet.run_for(milliseconds(400));
    for (int i = 0; i < 20; ++i)
    {
        EXPECT_EQ(fleet.ask(slow, "/safe/a", "id-" + std::to_string(i))
                      .response.result_int(),
                  200U);
    }
    EXPECT_TRUE(slow.target->ran.empty());
}

TEST(gateway, a_node_that_cannot_be_reached_gets_no_request_until_it_can)
{
    gateway_fleet fleet;
    fleet.settle(2, "web");
    auto & lost = *fleet.members[1];
    lost.node->peer_listener.close();
    lost.node->peer_listener.drain();
    for (int i = 0; i < 10; ++i)
    {
        EXPECT_EQ(
            fleet.ask(*fleet.members[0], "/unsafe/a", "id-" + std::to_string(i))
                .response.result_int(),
            200U);
        EXPECT_EQ(fleet.runs_of("id-" + std::to_string(i)), 1U);
    }
}

/// @brief sends a request of another node as bytes and never reads the answer
TEST(gateway, a_request_on_a_silent_connection_runs_once_or_not_at_all)
{
    gateway_fleet fleet;
    fleet.settle(1, "web");
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
    auto const ask = [&fleet, &peer](detail::request_message message)
    {
        detail::call_options options;
        options.deadline =
            std::chrono::steady_clock::now() + std::chrono::seconds(5);
        std::optional<detail::call_result> got;
        auto const call = peer.send(std::move(message),
                                    options,
                                    true,
                                    [&got](detail::call_result result)
                                    {
                                        got = std::move(result);
                                    });
        EXPECT_TRUE(fleet.run_until(
            [&got]
            {
                return got.has_value();
            }));
        return got->response;
    };
    auto const question = detail::in_flight_query::write_request({"process-7"});
    EXPECT_EQ(
        detail::in_flight_query::read(ask(question), 1),
        std::vector<in_flight_request_state>{in_flight_request_state::fenced});
    // it was held up on its way and comes now
    detail::replica_versions versions;
    auto const late = detail::read_hop_result(ask(request.message), versions);
    ASSERT_TRUE(late.has_value());
    EXPECT_EQ(late->outcome, detail::dispatch_outcome::refused);
    EXPECT_EQ(late->reason, "fenced");
    EXPECT_EQ(fleet.runs_of("id-1"), 0U);
}

} // namespace
} // namespace endivehinge::tests

#include <gtest/gtest.h>

#include "gateway/snapshot_run.hpp"

namespace endivehinge::tests
{
namespace
{

namespace http = boost::beast::http;
using nlohmann::json;

// about 0.6 MB of text
constexpr std::size_t route_count = 3000;

/// @brief a configuration with many routes to a service beside its own
json long_configuration(json spec, int version, std::string const & service)
{
    spec["version"] = "r" + std::to_string(version);
    for (std::size_t i = 0; i < route_count; ++i)
    {
        auto const number = std::to_string(i);
        spec["routes"]["r-" + number] = {
            {"hostname", "h" + number},
            {"pathPrefix", "/long/" + number + "/"},
            {"routeType", "safe"},
            {"timeoutS", 2.0},
            {"targetLatencyS", 0.5},
            {"priority", 1},
            {"maxAttempts", 2},
            {"service", service}};
    }
    return spec;
}

bool has_version(fleet_member const & member, std::uint64_t version)
{
    auto const & active = member.node->state.fleet.configuration();
    return active && active->version == version;
}

bool wait_for_version(gateway_fleet & fleet, std::uint64_t version)
{
    return fleet.run_until(
        [&fleet, version]
        {
            for (auto const & member : fleet.members)
            {
                if (!has_version(*member, version))
                {
                    return false;
                }
            }
            return true;
        });
}

unsigned readiness_of(gateway_fleet & fleet, fleet_member & member)
{
    detail::upstream client(fleet.io,
                            member.node->state.settings.readiness_listener,
                            detail::upstream_options{});
    detail::call_options options;
    options.deadline =
        std::chrono::steady_clock::now() + std::chrono::seconds(20);
    std::optional<detail::call_result> result;
    auto const call = client.send(
        detail::request_message{http::verb::get, "/api/readiness", 11},
        options,
        true,
        [&result](detail::call_result received)
        {
            result = std::move(received);
        });
    EXPECT_TRUE(fleet.run_until(
        [&result]
        {
            return result.has_value();
        }));
    return result->response.result_int();
}

// All nodes read the whole text from the store, each over its own link, since
// the one that had it sent a long text to one of them only.
TEST(long_configuration, is_read_from_the_store_once_per_failure_domain)
{
    gateway_fleet fleet;
    fleet.start_members(6, "web");
    auto const lists = fleet.store.list_count_of("config");
    fleet.store.put(
        "config",
        "main",
        long_configuration(fleet.store.spec("config", "main"), 2, "web"));
    ASSERT_TRUE(wait_for_version(fleet, 2));
    auto spec = fleet.store.spec("config", "main");
    spec["version"] = "r3";
    spec["routes"]["r-7"]["timeoutS"] = 1.0;
    fleet.store.put("config", "main", spec);
    ASSERT_TRUE(wait_for_version(fleet, 3));
    EXPECT_EQ(fleet.store.list_count_of("config"), lists)
        << "the changes arrive through the watch of one node";
}

// A read that took longer than a fixed time was given up and begun again.
TEST(long_configuration, copy_that_keeps_arriving_is_not_given_up)
{
    gateway_fleet fleet;
    fleet.configure(1, "web");
    fleet.store.put(
        "config",
        "main",
        long_configuration(fleet.store.spec("config", "main"), 2, "web"));
    EXPECT_TRUE(
        reads_configuration_over(fleet, std::chrono::milliseconds(130)));
}

// The store may answer the first read of a process with data that is seconds
// old. A ready node must not serve clients by it.
TEST(long_configuration, node_is_ready_once_its_configuration_is_confirmed)
{
    gateway_fleet fleet;
    fleet.configure(1, "web");
    fleet.store.stale_configurations = fleet.store.list("config");
    fleet.configure(2, "web");
    fleet.store.answers_old_data_only = true;
    auto & member = fleet.add("web");
    ASSERT_TRUE(fleet.run_until(
        [&member]
        {
            return has_version(member, 1);
        }));
    EXPECT_EQ(readiness_of(fleet, member), 503U);
    fleet.store.answers_old_data_only = false;
    ASSERT_TRUE(fleet.run_until(
        [&member]
        {
            return has_version(member, 2);
        }));
    EXPECT_EQ(readiness_of(fleet, member), 200U);
}

// Otherwise it would wait for a confirmation that cannot come.
TEST(long_configuration, nodes_without_contact_state_its_age_to_a_starting_node)
{
    gateway_fleet fleet;
    fleet.start_members(3, "web");
    fleet.store.unresponsive = true;
    fleet.store.close_watch_connections();
    ASSERT_TRUE(fleet.run_until(
        [&fleet]
        {
            for (auto const & member : fleet.members)
            {
                if (member->node->replicas.has_store_contact())
                {
                    return false;
                }
            }
            return true;
        }));
    auto const & seed = fleet.members[0]->node->state.settings;
    fleet.seeds = {seed.report_listener};
    auto & member = *fleet.members[2];
    member.node->state.settings.seeds = fleet.seeds;
    fleet.restart_node(member);
    EXPECT_TRUE(fleet.run_until(
        [&member]
        {
            return member.node->state.configuration_age().has_value();
        }));
    EXPECT_EQ(readiness_of(fleet, member), 200U);
}

} // namespace
} // namespace endivehinge::tests

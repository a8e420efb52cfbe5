#include <utility> // move

#include <gtest/gtest.h>

#include <unistd.h> // STDOUT_FILENO

#include <endivehinge/detail/gateway/store_snapshot_reader.hpp>
#include <platform/platform.hpp>

#include "gateway/gateway_fleet.hpp"

namespace endivehinge::tests
{
namespace
{

// Over a slow link a large configuration took longer than the time limit, and
// each repeated read was given up as well.
TEST(gateway_snapshot, configuration_that_arrives_slowly_is_read)
{
    gateway_fleet fleet;
    fleet.configure(1, "web");
    fault_relay link(fleet.io, {"127.0.0.1", 0}, fleet.store.address());
    relay_faults slow;
    slow.delay_to_client = std::chrono::milliseconds(900);
    link.set_faults(slow);
    detail::gateway_settings settings;
    auto const adapters = platform::make_adapters(settings);
    detail::event_log log("node", STDOUT_FILENO);
    detail::fleet_view view;
    detail::store_era_reader eras(*adapters.store, log);
    detail::fleet_replica replica(
        view, *adapters.store, log, node_name("node"), false);
    detail::fleet_replica::handlers handlers;
    handlers.configuration = [] {};
    handlers.versions = [](auto const &) {};
    replica.on_change(std::move(handlers));
    detail::upstream store(
        fleet.io, link.address(), detail::upstream_options{});
    detail::store_snapshot_reader reader(
        store, *adapters.store, log, eras, replica);
    bool done = false;
    reader.read({true, false, false, false},
                detail::read_freshness::current,
                [&done]
                {
                    done = true;
                });
    EXPECT_TRUE(fleet.run_until(
        [&done]
        {
            return done;
        }));
    EXPECT_TRUE(view.configuration() != nullptr);
}

} // namespace
} // namespace endivehinge::tests

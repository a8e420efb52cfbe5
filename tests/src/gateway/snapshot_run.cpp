#include "snapshot_run.hpp"

#include <gtest/gtest.h>

#include <unistd.h> // STDOUT_FILENO

#include <endivehinge/detail/gateway/store_snapshot_reader.hpp>
#include <platform/platform.hpp>

namespace endivehinge::tests
{

bool reads_configuration_over(gateway_fleet & fleet, duration chunk_delay)
{
    fault_relay link(fleet.io, {"127.0.0.1", 0}, fleet.store.address());
    relay_faults slow;
    slow.delay_to_client = chunk_delay;
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
    return view.configuration() != nullptr;
}

} // namespace endivehinge::tests

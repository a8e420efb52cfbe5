#ifndef ENDIVEHINGE_COORDINATION_CONFIGURATION_TIMING_HPP
#define ENDIVEHINGE_COORDINATION_CONFIGURATION_TIMING_HPP

#include <cstddef> // size_t

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief intervals, timeouts and limits of the configuration exchange with
///        the platform and with peers
struct configuration_timing
{
    // how long one watch call blocks until there are changes
    duration watch_timeout = std::chrono::seconds(2);
    // a node without a watch reads the platform at this interval times the
    // number of members, so that the total read rate does not grow with the
    // fleet
    duration read_interval_per_member = std::chrono::milliseconds(10);
    duration min_read_interval = std::chrono::seconds(2);
    // for a node that knows no other member, as when the whole fleet restarts
    duration single_node_read_interval = std::chrono::seconds(5);
    duration initial_platform_backoff = std::chrono::milliseconds(250);
    duration max_platform_backoff = std::chrono::seconds(10);
    duration read_budget_poll_interval = std::chrono::milliseconds(100);
    double platform_reads_per_second = 10;
    double platform_read_burst = 10;
    // average interval at which each node pulls from a random peer
    duration anti_entropy_interval = std::chrono::seconds(4);
    duration peer_timeout = std::chrono::seconds(1);
    // number of peers to which a node pushes changes that are new to it
    std::size_t push_fanout = 2;
    // number of peers from which a node pulls until it is ready
    std::size_t bootstrap_pull_fanout = 3;
    // how long a starting node waits until it discovers its first peer
    duration peer_discovery_timeout = std::chrono::seconds(1);
    duration peer_discovery_poll_interval = std::chrono::milliseconds(20);
};

} // namespace endivehinge

#endif

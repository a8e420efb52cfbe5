#ifndef ENDIVEHINGE_COORDINATION_CONFIGURATION_TIMING_HPP
#define ENDIVEHINGE_COORDINATION_CONFIGURATION_TIMING_HPP

#include <cstddef> // size_t

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief when a node asks the platform and peers for configuration
struct configuration_timing
{
    // how long one call of a watch waits for changes
    duration watch_timeout = std::chrono::seconds(2);
    // a node that holds no watch reads once in this time for each member, so
    // that the reads of the fleet do not grow with it
    duration read_interval_per_member = std::chrono::milliseconds(10);
    duration min_read_interval = std::chrono::seconds(2);
    // a node that knows of no other, such as in a restart of the whole fleet
    duration single_node_read_interval = std::chrono::seconds(5);
    duration initial_platform_backoff = std::chrono::milliseconds(250);
    duration max_platform_backoff = std::chrono::seconds(10);
    duration read_budget_poll_interval = std::chrono::milliseconds(100);
    double platform_reads_per_second = 10;
    double platform_read_burst = 10;
    // each node asks a random peer about once in this time
    duration anti_entropy_interval = std::chrono::seconds(4);
    duration peer_timeout = std::chrono::seconds(1);
    // peers that a node tells what is new to it
    std::size_t push_fanout = 2;
    // peers that a fresh node asks
    std::size_t bootstrap_pull_fanout = 3;
    // how long a fresh node waits until it knows of any peer
    duration peer_discovery_timeout = std::chrono::seconds(1);
    duration peer_discovery_poll_interval = std::chrono::milliseconds(20);
};

} // namespace endivehinge

#endif

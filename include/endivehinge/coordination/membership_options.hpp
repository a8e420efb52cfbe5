#ifndef ENDIVEHINGE_COORDINATION_MEMBERSHIP_OPTIONS_HPP
#define ENDIVEHINGE_COORDINATION_MEMBERSHIP_OPTIONS_HPP

#include <cstddef> // size_t

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief the times and bounds of membership; alike on all nodes
struct membership_options
{
    // one member is probed in each period
    duration probe_period = std::chrono::seconds(1);
    // a direct answer comes within this time, else others are asked to probe
    duration ping_timeout = std::chrono::milliseconds(300);
    std::size_t indirect_probes = 3;
    // times the period and the logarithm of the number of members
    double suspicion_factor = 4;
    double retransmission_factor = 3;
    // a node that was not called for so long takes itself for paused
    duration pause_threshold = std::chrono::seconds(2);

    // how many others of a failure domain are asked before one is suspected
    std::size_t domain_check_probes = 6;
    std::size_t reach_probes = 3;
    duration min_reach_interval = std::chrono::seconds(2);
    duration max_reach_interval = std::chrono::seconds(10);

    duration sync_interval = std::chrono::seconds(10);
    duration join_interval = std::chrono::seconds(1);
    std::size_t sync_datagrams = 6;
    // bytes that news and records may take, besides the bare probes
    double gossip_bytes_per_second = 2500;
    double gossip_burst_bytes = 6000;
    double sync_bytes_per_second = 1500;
    double sync_burst_bytes = 16000;

    // a version is told to so many at once
    std::size_t announcement_fanout = 4;
    // the gone are remembered, so that old news does not bring them back
    duration gone_retention = std::chrono::hours(2);
    duration gone_probe_interval = std::chrono::seconds(30);
    std::size_t update_queue_capacity = 512;
    std::size_t max_members = 20000;
};

} // namespace endivehinge

#endif

#ifndef ENDIVEHINGE_COORDINATION_MEMBERSHIP_OPTIONS_HPP
#define ENDIVEHINGE_COORDINATION_MEMBERSHIP_OPTIONS_HPP

#include <cstddef> // size_t

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief timing and limits of the membership protocol; equal on all nodes
struct membership_options
{
    // one member is probed per period
    duration probe_period = std::chrono::seconds(1);
    // if a ping is not acknowledged within this time, other members are
    // requested to ping the member
    duration ping_timeout = std::chrono::milliseconds(300);
    std::size_t indirect_probes = 3;
    // The suspicion timeout is this factor times the probe period times log10
    // of the number of members.
    double suspicion_factor = 4;
    // An update is sent this factor times log10 of the number of members times.
    double retransmission_factor = 3;
    // a node whose tick() was not called for this long considers itself paused
    duration pause_threshold = std::chrono::seconds(2);

    // number of other members of a failure domain that are probed before a
    // member is suspected
    std::size_t domain_check_probes = 6;
    std::size_t recovery_probes = 3;
    duration min_recovery_interval = std::chrono::seconds(2);
    duration max_recovery_interval = std::chrono::seconds(10);

    duration sync_interval = std::chrono::seconds(10);
    duration join_interval = std::chrono::seconds(1);
    std::size_t sync_datagrams = 6;
    // limits of the bytes sent for updates and for records, excluding the
    // probes themselves
    double gossip_bytes_per_second = 2500;
    double gossip_burst_bytes = 6000;
    double sync_bytes_per_second = 1500;
    double sync_burst_bytes = 16000;

    // number of members to which a new configuration version is sent at once
    std::size_t announcement_fanout = 4;
    // Entries of members that left or died are retained, so that delayed
    // updates do not add them again.
    duration tombstone_retention = std::chrono::hours(2);
    duration dead_probe_interval = std::chrono::seconds(30);
    std::size_t update_queue_capacity = 512;
    std::size_t max_members = 20000;
};

} // namespace endivehinge

#endif

#ifndef ENDIVEHINGE_COORDINATION_LEASE_TIMING_HPP
#define ENDIVEHINGE_COORDINATION_LEASE_TIMING_HPP

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief the durations used by key owners and their leader
struct lease_timing
{
    // length of the leader's lease, counted from its write to the platform
    duration leader_lease_duration = std::chrono::seconds(6);
    // between the leader's writes to the platform
    duration leader_renewal_interval = std::chrono::milliseconds(2000);
    // length of an owner's lease, granted by the leader
    duration owner_lease_duration = std::chrono::seconds(4);
    // between an owner's renewals while it holds a lease
    duration heartbeat_interval = std::chrono::milliseconds(500);
    // between an owner's renewals while it waits for a lease
    duration lease_acquisition_interval = std::chrono::milliseconds(100);
    // minimum time between the starts of two epochs
    duration min_epoch_duration = std::chrono::milliseconds(500);
    // between reads of the platform while the leader does not respond
    duration platform_read_interval = std::chrono::seconds(1);
    // maximum drift between two clocks, in seconds per second
    double max_clock_drift = 0.01;
    // a dispatch must end this long before the lease
    duration dispatch_margin = std::chrono::milliseconds(100);

    /// @brief lengthens a duration so that, once it has passed by the local
    ///        clock, at least the given duration has passed by every other
    ///        clock
    [[nodiscard]] duration extend_for_drift(duration length) const
    {
        return this->scale(length, 1.0 + this->max_clock_drift);
    }

    /// @brief shortens a duration so that it ends by the local clock before the
    ///        given duration ends by any other clock
    [[nodiscard]] duration shorten_for_drift(duration length) const
    {
        return this->scale(length, 1.0 - this->max_clock_drift);
    }

private:
    [[nodiscard]] static duration scale(duration length, double factor)
    {
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double, std::nano>(length) * factor);
    }
};

} // namespace endivehinge

#endif

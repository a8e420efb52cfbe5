#ifndef ENDIVEHINGE_COORDINATION_LEASE_TIMING_HPP
#define ENDIVEHINGE_COORDINATION_LEASE_TIMING_HPP

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief the spans by which key owners and their keeper work
struct lease_timing
{
    // of the keeper, from the platform
    duration leader_lease_duration = std::chrono::seconds(6);
    // writes of the keeper to the platform
    duration leader_renewal_interval = std::chrono::milliseconds(2000);
    // of an owner, from the keeper
    duration owner_lease_duration = std::chrono::seconds(4);
    // requests of an owner to the keeper
    duration heartbeat_interval = std::chrono::milliseconds(500);
    // the same while the owner waits for its lease
    duration lease_acquisition_interval = std::chrono::milliseconds(100);
    // between two epochs
    duration min_epoch_duration = std::chrono::milliseconds(500);
    // between reads of the platform where the keeper does not answer
    duration platform_read_interval = std::chrono::seconds(1);
    // by how much two clocks may differ in a second, in both directions
    double max_clock_drift = 0.01;
    // a dispatch ends so long before the lease
    duration dispatch_margin = std::chrono::milliseconds(100);

    /// @brief a span that has passed for all once it has passed here
    [[nodiscard]] duration longer(duration span) const
    {
        return this->scale(span, 1.0 + this->max_clock_drift);
    }

    /// @brief a span that has passed for none before it has passed here
    [[nodiscard]] duration shorter(duration span) const
    {
        return this->scale(span, 1.0 - this->max_clock_drift);
    }

private:
    [[nodiscard]] static duration scale(duration span, double factor)
    {
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double, std::nano>(span) * factor);
    }
};

} // namespace endivehinge

#endif

#ifndef ENDIVEHINGE_POLICY_LOAD_AWARE_OPTIONS_HPP
#define ENDIVEHINGE_POLICY_LOAD_AWARE_OPTIONS_HPP

#include <cstddef> // size_t

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief which mechanisms a load_aware_policy uses, and its bounds
struct load_aware_options
{
    // candidates weighed, from near and from the rest
    std::size_t near_sample = 3;
    std::size_t far_sample = 2;
    // a target with room goes before one without, whatever their latency
    bool prefer_spare_capacity = true;
    // old signals turn into the usual load; otherwise they stay as they are
    bool decay_signals = true;
    // own requests since the signal count as load
    bool count_sent_requests = true;
    // own observed latency and waiting requests count
    bool use_observed_latency = true;
    // travel counts
    bool use_round_trip_time = true;
    // age, in runs of the target, at which half of its in-flight count is
    // forgotten: a target renews its load about once a run
    double load_half_life_in_runs = 2;
    // age at which half of a latency is forgotten, told or observed
    duration latency_half_life = std::chrono::seconds(1);
};

} // namespace endivehinge

#endif

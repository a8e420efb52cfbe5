#ifndef ENDIVEHINGE_POLICY_LOAD_AWARE_OPTIONS_HPP
#define ENDIVEHINGE_POLICY_LOAD_AWARE_OPTIONS_HPP

#include <cstddef> // size_t

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief mechanisms and parameters of a load_aware_policy
struct load_aware_options
{
    // candidates to compare from the local failure domain, and from others
    std::size_t local_domain_sample = 3;
    std::size_t remote_domain_sample = 2;
    // prefer targets with spare capacity, whatever their latency
    bool prefer_spare_capacity = true;
    // let aging signals decay to the typical load; otherwise use them as is
    bool decay_signals = true;
    // add requests sent since the last signal to the load
    bool count_sent_requests = true;
    // use latencies and pending requests that this node observed
    bool use_observed_latency = true;
    // include the network round-trip time
    bool use_round_trip_time = true;
    // half-life of an in-flight count, in service times of the target, which
    // replaces its load about once per service time
    double load_half_life_in_service_times = 2;
    // half-life of a latency, whether reported or observed
    duration latency_half_life = std::chrono::seconds(1);
};

} // namespace endivehinge

#endif

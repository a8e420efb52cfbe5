#ifndef ENDIVEHINGE_POLICY_PLACEMENT_CANDIDATE_HPP
#define ENDIVEHINGE_POLICY_PLACEMENT_CANDIDATE_HPP

#include <optional> // optional

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/ids.hpp>
#include <endivehinge/policy/latency_observation.hpp>
#include <endivehinge/policy/load_signal.hpp>

namespace endivehinge
{

/// @brief a target that a request may be placed on, as seen by this node
struct placement_candidate
{
    node_name node;
    bool local = false;
    bool same_domain = false;
    // no value without a recent signal, which does not mean that it is idle
    std::optional<load_signal> signal;
    // requests that this node sent since it received the signal
    double sent_since_signal = 0;
    // requests from this node that await a response
    double own_in_flight = 0;
    // network time to the node and back
    duration round_trip_time{0};
    // latency of this node's requests, without the network time
    std::optional<latency_observation> observed_latency;
    // when this node sent the oldest request that awaits a response
    std::optional<time_point> oldest_sent_at;
};

} // namespace endivehinge

#endif

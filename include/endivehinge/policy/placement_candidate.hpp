#ifndef ENDIVEHINGE_POLICY_PLACEMENT_CANDIDATE_HPP
#define ENDIVEHINGE_POLICY_PLACEMENT_CANDIDATE_HPP

#include <optional> // optional

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/ids.hpp>
#include <endivehinge/policy/latency_observation.hpp>
#include <endivehinge/policy/load_signal.hpp>

namespace endivehinge
{

/// @brief a target that a request may be placed on, as the picker sees it
struct placement_candidate
{
    node_name node;
    bool local = false;
    bool same_domain = false;
    // no value: nothing recent is known, which does not mean idle
    std::optional<load_signal> signal;
    // own requests sent since the signal came in
    double sent_since_signal = 0;
    // own requests without an answer yet
    double own_in_flight = 0;
    // travel there and back
    duration round_trip_time{0};
    // what own requests took there, without the travel
    std::optional<latency_observation> observed_latency;
    // when the oldest own request without an answer was sent
    std::optional<time_point> waiting_since;
};

} // namespace endivehinge

#endif

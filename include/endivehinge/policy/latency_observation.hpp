#ifndef ENDIVEHINGE_POLICY_LATENCY_OBSERVATION_HPP
#define ENDIVEHINGE_POLICY_LATENCY_OBSERVATION_HPP

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief a latency seen from here, and when it was last brought up to date
struct latency_observation
{
    duration latency{0};
    time_point at;
};

} // namespace endivehinge

#endif

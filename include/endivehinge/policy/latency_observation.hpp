#ifndef ENDIVEHINGE_POLICY_LATENCY_OBSERVATION_HPP
#define ENDIVEHINGE_POLICY_LATENCY_OBSERVATION_HPP

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief a latency measured by this node and the time of its last update
struct latency_observation
{
    duration latency{0};
    time_point updated_at;
};

} // namespace endivehinge

#endif

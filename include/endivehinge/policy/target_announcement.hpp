#ifndef ENDIVEHINGE_POLICY_TARGET_ANNOUNCEMENT_HPP
#define ENDIVEHINGE_POLICY_TARGET_ANNOUNCEMENT_HPP

#include <cstdint> // uint32_t, uint64_t

namespace endivehinge
{

/// @brief the state that a target reports
enum class announced_phase
{
    absent,
    cold,
    ready,
    draining,
};

/// @brief the part of a target's announcement that admission uses
struct target_announcement
{
    announced_phase phase = announced_phase::absent;
    // requests that it runs concurrently when warm
    std::uint32_t slots = 0;
    // incarnation of the target; a new one starts cold, whatever its phase
    std::uint64_t run = 0;
};

} // namespace endivehinge

#endif

#ifndef ENDIVEHINGE_POLICY_TARGET_ANNOUNCEMENT_HPP
#define ENDIVEHINGE_POLICY_TARGET_ANNOUNCEMENT_HPP

#include <cstdint> // uint32_t, uint64_t

namespace endivehinge
{

/// @brief the state that a target claims
enum class announced_phase
{
    absent,
    cold,
    ready,
    draining,
};

/// @brief what a target says of itself, as far as admission needs it
struct target_announcement
{
    announced_phase phase = announced_phase::absent;
    // requests that it runs at once, when warm
    std::uint32_t slots = 0;
    // a new run of the target starts cold, whatever it claims
    std::uint64_t run = 0;
};

} // namespace endivehinge

#endif

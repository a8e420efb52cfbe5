#ifndef ENDIVEHINGE_POLICY_SLOW_TARGET_ACTION_HPP
#define ENDIVEHINGE_POLICY_SLOW_TARGET_ACTION_HPP

namespace endivehinge
{

/// @brief what a gate does with a request while its target is slow
enum class slow_target_action
{
    decline,         // gives it back at once: another target may be faster
    wait,            // waits a short while for the end of the slow period
    start_or_refuse, // starts it if it can still end in time, else refuses it
                     // at once
};

} // namespace endivehinge

#endif

#ifndef ENDIVEHINGE_POLICY_SLOW_TARGET_ACTION_HPP
#define ENDIVEHINGE_POLICY_SLOW_TARGET_ACTION_HPP

namespace endivehinge
{

/// @brief what target admission does with a request while the target is slow
enum class slow_target_action
{
    decline,         // refuse immediately, since another target may be faster
    wait,            // wait for the end of the slow period, up to a limit
    start_or_refuse, // start if it can meet the deadline, otherwise refuse
};

} // namespace endivehinge

#endif

#ifndef ENDIVEHINGE_POLICY_WHEN_SLOW_HPP
#define ENDIVEHINGE_POLICY_WHEN_SLOW_HPP

namespace endivehinge
{

/// @brief what a gate does with a request while its target is slow
enum class when_slow
{
    decline, // gives it back at once: another target may be faster
    wait,    // waits a short while for the end of the slow period
    decide,  // starts it if it can still end in time, else refuses it at once
};

} // namespace endivehinge

#endif

#ifndef ENDIVEHINGE_CORE_SUSPENSION_CLOCK_HPP
#define ENDIVEHINGE_CORE_SUSPENSION_CLOCK_HPP

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief monotonic clock that also counts the time in which the machine was
///        suspended
///
/// The steady clock stands still meanwhile, so a permission that expires on it
/// would last longer than its grantor counts. Use this clock for permissions
/// and the steady clock for timers.
class suspension_clock
{
public:
    /// @brief time on CLOCK_BOOTTIME; the steady clock's if it is not available
    /// @note comparable only with other results of this function
    /// @note thread safety: any thread
    [[nodiscard]] static time_point now();
};

} // namespace endivehinge

#endif

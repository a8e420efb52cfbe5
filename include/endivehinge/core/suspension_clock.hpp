#ifndef ENDIVEHINGE_CORE_SUSPENSION_CLOCK_HPP
#define ENDIVEHINGE_CORE_SUSPENSION_CLOCK_HPP

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief current time of a monotonic clock that also advances while the
/// machine is suspended
///
/// For the validity of permissions: the steady clock stands still during a
/// suspension, so that an expired permission would seem valid afterwards.
/// @note not comparable with loop_now() and timers; thread safety: any thread
[[nodiscard]] time_point suspension_aware_now();

} // namespace endivehinge

#endif

#ifndef ENDIVEHINGE_CORE_BOOT_CLOCK_HPP
#define ENDIVEHINGE_CORE_BOOT_CLOCK_HPP

#include <chrono> // nanoseconds, time_point

namespace endivehinge
{

/// @brief monotonic clock that also counts the time in which the machine is
/// suspended, for permissions that expire
///
/// std::chrono::steady_clock stands still during a suspension, so that an
/// expired permission would seem valid afterwards. Timers of the event loop use
/// the steady clock and must not get times of this clock.
struct boot_clock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    /// @brief the time since the machine started (CLOCK_BOOTTIME)
    /// @note thread safety: any thread
    [[nodiscard]] static time_point now() noexcept;
};

/// @brief a point in time that counts suspension
using boot_time = boot_clock::time_point;

} // namespace endivehinge

#endif

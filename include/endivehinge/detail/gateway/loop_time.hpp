#ifndef ENDIVEHINGE_DETAIL_GATEWAY_LOOP_TIME_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_LOOP_TIME_HPP

#include <string> // string

#include <endivehinge/core/clock.hpp>

namespace endivehinge::detail
{

/// @brief current time of the monotonic clock that the event loop's timers use
/// @note thread safety: any thread
[[nodiscard]] time_point loop_now();

/// @brief formats a duration as an integral number of milliseconds for logging
/// @note thread safety: any thread
[[nodiscard]] std::string format_milliseconds(duration value);

} // namespace endivehinge::detail

#endif

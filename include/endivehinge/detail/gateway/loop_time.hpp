#ifndef ENDIVEHINGE_DETAIL_GATEWAY_LOOP_TIME_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_LOOP_TIME_HPP

#include <string> // string

#include <endivehinge/core/clock.hpp>

namespace endivehinge::detail
{

/// @brief the monotonic time, on the clock of the event loop's timers
/// @note thread safety: any thread
[[nodiscard]] time_point loop_now();

/// @brief whole milliseconds, for log lines
/// @note thread safety: any thread
[[nodiscard]] std::string format_milliseconds(duration span);

} // namespace endivehinge::detail

#endif

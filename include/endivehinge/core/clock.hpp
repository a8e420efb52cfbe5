#ifndef ENDIVEHINGE_CORE_CLOCK_HPP
#define ENDIVEHINGE_CORE_CLOCK_HPP

#include <chrono> // steady_clock, system_clock, milliseconds

namespace endivehinge
{

/// @brief an interval of time
using duration = std::chrono::nanoseconds;

/// @brief a point on the monotonic clock of one process
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// @brief a point in wall-clock time, for exchange between processes
using wall_time = std::chrono::time_point<std::chrono::system_clock, duration>;

/// @brief time source of a process; functions that make decisions take the
///        time as an argument instead
class clock
{
public:
    clock() = default;
    clock(clock const &) = delete;
    clock & operator=(clock const &) = delete;
    virtual ~clock() = default;

    /// @brief the monotonic time
    /// @note thread safety: any thread
    [[nodiscard]] virtual time_point now() const = 0;

    /// @brief the wall-clock time
    /// @note thread safety: any thread
    [[nodiscard]] virtual wall_time wall_now() const = 0;
};

/// @brief clock that reads the machine's monotonic and wall-clock time
class machine_clock final : public clock
{
public:
    [[nodiscard]] time_point now() const override;
    [[nodiscard]] wall_time wall_now() const override;
};

/// @brief converts to milliseconds, with a fraction, for reports
[[nodiscard]] double to_milliseconds(duration value);

} // namespace endivehinge

#endif

#ifndef ENDIVEHINGE_CORE_CLOCK_HPP
#define ENDIVEHINGE_CORE_CLOCK_HPP

#include <chrono> // steady_clock, system_clock, milliseconds

namespace endivehinge
{

/// @brief a span of time
using duration = std::chrono::nanoseconds;

/// @brief a point on one process's monotonic clock
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// @brief a point in civil time, for what crosses processes
using wall_time = std::chrono::time_point<std::chrono::system_clock, duration>;

/// @brief where a process reads the time; decisions take it as an argument
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

    /// @brief the civil time
    /// @note thread safety: any thread
    [[nodiscard]] virtual wall_time wall_now() const = 0;
};

/// @brief the clocks of the machine
class machine_clock final : public clock
{
public:
    [[nodiscard]] time_point now() const override;
    [[nodiscard]] wall_time wall_now() const override;
};

/// @brief a span in milliseconds with its fraction, for reports
[[nodiscard]] double to_milliseconds(duration span);

} // namespace endivehinge

#endif

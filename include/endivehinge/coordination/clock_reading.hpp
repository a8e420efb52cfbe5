#ifndef ENDIVEHINGE_COORDINATION_CLOCK_READING_HPP
#define ENDIVEHINGE_COORDINATION_CLOCK_READING_HPP

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief one reading of both clocks of a process
struct clock_reading
{
    time_point now;
    wall_time wall;

    /// @brief reads the clocks
    /// @note thread safety: any thread
    [[nodiscard]] static clock_reading of(clock const & time)
    {
        return {time.now(), time.wall_now()};
    }
};

} // namespace endivehinge

#endif

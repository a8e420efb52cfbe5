#ifndef ENDIVEHINGE_COORDINATION_MOMENT_HPP
#define ENDIVEHINGE_COORDINATION_MOMENT_HPP

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief one reading of both clocks of a process
struct moment
{
    time_point now;
    wall_time wall;

    /// @brief reads the clocks
    /// @note thread safety: any thread
    [[nodiscard]] static moment of(clock const & time)
    {
        return {time.now(), time.wall_now()};
    }
};

} // namespace endivehinge

#endif

#ifndef ENDIVEHINGE_CORE_SCALED_DURATION_HPP
#define ENDIVEHINGE_CORE_SCALED_DURATION_HPP

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief a duration times a factor, rounded toward zero
/// @note pure; safe to call concurrently
inline duration scaled(duration value, double factor)
{
    return std::chrono::duration_cast<duration>(value * factor);
}

} // namespace endivehinge

#endif

#ifndef ENDIVEHINGE_COORDINATION_BACKOFF_HPP
#define ENDIVEHINGE_COORDINATION_BACKOFF_HPP

#include <absl/random/bit_gen_ref.h> // BitGenRef

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief how long to wait after each failure in a row
/// @note thread safety: as a plain object
class backoff
{
public:
    /// @param first the bound of the first wait; above 0
    /// @param longest the bound of any wait
    backoff(duration first, duration longest);

    /// @brief the next wait: random between half its bound and its bound,
    ///        which doubles with each failure
    [[nodiscard]] duration next_delay(absl::BitGenRef random);

    /// @brief begins anew
    void reset();

private:
    duration first;
    duration longest;
    duration bound;
};

} // namespace endivehinge

#endif

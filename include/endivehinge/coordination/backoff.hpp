#ifndef ENDIVEHINGE_COORDINATION_BACKOFF_HPP
#define ENDIVEHINGE_COORDINATION_BACKOFF_HPP

#include <absl/random/bit_gen_ref.h> // BitGenRef

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief exponential backoff with jitter
/// @note thread safety: none; callers synchronize access
class backoff
{
public:
    /// @param initial_bound upper bound of the first delay; greater than 0
    /// @param max_bound upper bound of every delay
    backoff(duration initial_bound, duration max_bound);

    /// @brief returns the delay after a failure: uniformly random between half
    ///        the current bound and the bound, which then doubles up to
    ///        `max_bound`
    [[nodiscard]] duration next_delay(absl::BitGenRef random);

    /// @brief returns to the initial bound, after a success
    void reset();

private:
    duration initial_bound;
    duration max_bound;
    duration current_bound;
};

} // namespace endivehinge

#endif

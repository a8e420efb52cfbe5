#ifndef ENDIVEHINGE_POLICY_ALLOTMENT_RETRY_HPP
#define ENDIVEHINGE_POLICY_ALLOTMENT_RETRY_HPP

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief spreads the retry times of refused clients of one account, so that
/// they do not return together: one for each token that is expected
/// @note pure: time and random numbers are arguments; not thread-safe
class allotment_retry
{
public:
    /// @param earliest when the next token is expected
    /// @param rate expected tokens per second
    /// @param random in [0, 1)
    /// @return time until the client may come again
    [[nodiscard]] duration
    next(time_point now, time_point earliest, double rate, double random);

private:
    time_point last;
};

} // namespace endivehinge

#endif

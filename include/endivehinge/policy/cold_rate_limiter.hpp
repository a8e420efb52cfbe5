#ifndef ENDIVEHINGE_POLICY_COLD_RATE_LIMITER_HPP
#define ENDIVEHINGE_POLICY_COLD_RATE_LIMITER_HPP

#include <cstddef> // size_t

#include <endivehinge/core/clock.hpp>
#include <endivehinge/policy/cold_rate_bound.hpp>
#include <endivehinge/policy/start_rate_bucket.hpp>
#include <endivehinge/policy/start_window.hpp>

namespace endivehinge
{

/// @brief limits the request rate of a target that is still warming up
///
/// Uses nearly all of the requests that a cold target may receive in any
/// second: after a whole fleet restarts, every target is cold and the sum of
/// these rates is all the capacity there is. A token bucket spreads the starts
/// over the second, so that none has to wait for its end; a window of one
/// second bounds them, so that the bucket may refill at the whole rate.
/// Requests count while the target is considered warm, too: a report that it is
/// cold may arrive just after they started. A target may become cold at any
/// moment, so that what is known of it covers no more requests than a cold
/// target may receive: beyond these, the target must state again that it is
/// warm, or its rate is that of a cold one.
/// @note pure; not thread-safe, the owner serialises all calls
class cold_rate_limiter
{
public:
    /// @param largest_burst capacity of the token bucket, in requests
    explicit cold_rate_limiter(double largest_burst);

    /// @brief sets the end of the cold period and the rate during it
    /// @param requests_per_second stated rate of the cold target; 0: unlimited
    /// @param bound limit on the requests of any second
    void set(time_point until,
             double requests_per_second,
             cold_rate_bound const & bound);

    /// @brief whether the rate limit applies at the given time
    [[nodiscard]] bool is_cold(time_point now) const;

    /// @brief records that the target stated not to be cold
    /// @param known_at not after the time at which the target stated it
    void confirm_warm(time_point known_at);

    /// @brief whether the target should state again soon whether it is cold
    [[nodiscard]] bool needs_confirmation(time_point now) const;

    /// @brief refills the bucket and returns whether a request may start
    [[nodiscard]] bool can_start(time_point now);

    /// @brief counts a request that starts
    void record_start(time_point now);

    /// @brief time until the given number of requests could have started
    /// @return 0 if the target is not cold
    [[nodiscard]] duration time_until_start(std::size_t requests,
                                            time_point now) const;

    /// @brief time between two starts at the rate limit
    /// @return 0 if the target is not cold
    [[nodiscard]] duration start_interval(time_point now) const;

    /// @brief earliest start of the next request, as of the last can_start()
    /// @return a time in the past if a request may start immediately
    [[nodiscard]] time_point next_start_time() const;

private:
    double burst;
    time_point cold_until;
    // 0: unlimited
    double rate = 0;
    start_rate_bucket bucket;
    start_window window;
    // when the target was last known not to be cold
    time_point warm_at;
    // when can_start() was last called
    time_point checked_at;
};

} // namespace endivehinge

#endif

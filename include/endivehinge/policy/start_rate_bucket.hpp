#ifndef ENDIVEHINGE_POLICY_START_RATE_BUCKET_HPP
#define ENDIVEHINGE_POLICY_START_RATE_BUCKET_HPP

#include <cstddef> // size_t

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief token bucket for the starts of requests, which tells when the next
/// ones may start
/// @note pure; not thread-safe, the owner serialises all calls
class start_rate_bucket
{
public:
    /// @brief sets the rate and the capacity; keeps the tokens that fit
    /// @param starts_per_second 0 or greater; at 0 the tokens stay as they are
    /// @param burst starts allowed at once, at least 1
    void set(double starts_per_second, double burst);

    /// @brief empties the bucket
    void clear(time_point now);

    /// @brief adds the tokens for the time since the last call
    void refill(time_point now);

    /// @brief whether a start is allowed, as of the last refill()
    [[nodiscard]] bool has_token() const;

    /// @brief consumes the token of a request that starts; if there is none,
    /// nothing
    void take();

    /// @brief time until a number of requests could have started
    /// @pre the rate is above 0
    [[nodiscard]] duration time_until(std::size_t starts, time_point now) const;

    /// @brief time between two starts at the rate
    /// @pre the rate is above 0
    [[nodiscard]] duration interval() const;

    /// @brief when the next request may start, as of the last refill()
    /// @return a time in the past if it may start immediately
    /// @pre the rate is above 0
    [[nodiscard]] time_point next_start() const;

private:
    [[nodiscard]] double tokens_at(time_point now) const;
    [[nodiscard]] duration refill_time(double starts) const;

    double rate = 0;
    double capacity = 1;
    double tokens = 0;
    time_point last_refill;
};

} // namespace endivehinge

#endif

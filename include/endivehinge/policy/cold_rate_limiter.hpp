#ifndef ENDIVEHINGE_POLICY_COLD_RATE_LIMITER_HPP
#define ENDIVEHINGE_POLICY_COLD_RATE_LIMITER_HPP

#include <cstddef> // size_t

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief bounds what a cold target gets in any second
///
/// A token bucket whose rate is the one that the target bears. Requests count
/// while the target is warm too: it may turn out to be cold a moment later.
/// @note pure; thread safety: none, the owner serialises
class cold_rate_limiter
{
public:
    /// @param rate_factor of the rate that is used, relative to the one stated
    /// @param largest_burst requests at once after a quiet time
    cold_rate_limiter(double rate_factor, double largest_burst);

    /// @brief until when the target is cold
    /// @param requests_per_second that it bears then; 0: no bound
    void set(time_point until, double requests_per_second);

    /// @brief whether the bound holds now
    [[nodiscard]] bool is_cold(time_point now) const;

    /// @brief whether a request may start now
    [[nodiscard]] bool has_room(time_point now);

    /// @brief a request starts
    void spend();

    /// @brief when so many requests could have started; 0 where not cold
    [[nodiscard]] duration wait_for(std::size_t requests, time_point now) const;

    /// @brief when the next request may start, as of the last has_room()
    /// @return a past time where one may start
    [[nodiscard]] time_point next_room() const;

private:
    [[nodiscard]] duration time_of(double requests) const;

    double factor;
    double burst;
    time_point cold_until;
    double rate = 0;
    double tokens = 0;
    time_point refilled;
};

} // namespace endivehinge

#endif

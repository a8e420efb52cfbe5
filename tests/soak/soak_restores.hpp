#ifndef ENDIVEHINGE_TESTS_SOAK_SOAK_RESTORES_HPP
#define ENDIVEHINGE_TESTS_SOAK_SOAK_RESTORES_HPP

#include <random> // mt19937_64
#include <string> // string

#include "soak_fleet.hpp"

namespace endivehinge::tests
{

/// @brief takes the store away and brings it back from an older copy
///
/// Evacuates domains and ends evacuations in between. Draws from a generator
/// of its own, so that the other faults of a seed stay the same.
/// @note thread safety: none; used on one event loop
class soak_restores
{
public:
    soak_restores(soak_fleet & harmed, std::uint64_t seed);

    /// @brief begins; the store goes away at random intervals of this mean
    void start(duration mean_interval);

    /// @brief brings the store back, ends evacuations and begins nothing more
    void stop();

    /// @brief restores so far
    [[nodiscard]] std::size_t count() const;

private:
    void next();
    void evacuate();
    void take_away();
    void stop_all_processes();
    void bring_back();
    void say(std::string const & what, duration span) const;
    [[nodiscard]] int pick(int first, int last);

    soak_fleet & fleet;
    std::mt19937_64 random;
    duration interval{0};
    // when traffic began; a copy is not older
    duration began{0};
    bool active = false;
    std::size_t absences = 0;
    std::size_t restored = 0;
};

} // namespace endivehinge::tests

#endif

#ifndef ENDIVEHINGE_TESTS_SOAK_SOAK_FAULTS_HPP
#define ENDIVEHINGE_TESTS_SOAK_SOAK_FAULTS_HPP

#include <random> // mt19937_64
#include <string> // string

#include "soak_fleet.hpp"

namespace endivehinge::tests
{

/// @brief draws faults from a seed and puts them on a fleet
///
/// Faults come in series and overlap, also on one member.
/// @note thread safety: none; used on one event loop
class soak_faults
{
public:
    /// @param chosen the plan of the fleet
    soak_faults(soak_fleet & harmed, soak_plan const & chosen);

    /// @brief begins; faults come at random intervals of this mean
    void start(duration mean_interval);

    /// @brief begins no further fault
    void stop();

    /// @brief faults so far
    [[nodiscard]] std::size_t count() const;

private:
    void next();
    void draw();
    void harm_node(std::size_t index, duration span);
    void harm_target(std::size_t index, duration span);
    void harm_link(std::size_t index, duration span);
    void cut_with_resets(std::size_t index, duration span);
    void harm_store(duration span);
    void lapse_entry();
    void pause(std::size_t index, soak_process & process, duration span);
    void restart_node(std::size_t index, duration span);
    void restart_target(std::size_t index, duration span);
    void trouble(std::size_t index, duration span);
    void target_trouble(std::size_t index, duration span);
    void say(std::string const & what, std::size_t index, duration span);
    [[nodiscard]] int pick(int first, int last);

    soak_fleet & fleet;
    bool resets;
    duration stop_time;
    std::mt19937_64 random;
    duration interval{0};
    bool active = false;
    std::size_t drawn = 0;
};

} // namespace endivehinge::tests

#endif

#ifndef ENDIVEHINGE_TESTS_SOAK_SOAK_CRASHES_HPP
#define ENDIVEHINGE_TESTS_SOAK_SOAK_CRASHES_HPP

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <random>  // mt19937_64

#include "soak_clients.hpp"
#include "soak_fleet.hpp"

namespace endivehinge::tests
{

/// @brief two requests, a safe and an unsafe one, that crash each target that
/// begins to run them and come again at any node
/// @note thread safety: none; used on the loop of its fleet
class soak_crashes
{
public:
    soak_crashes(soak_fleet & harmed,
                 soak_clients & senders,
                 std::uint64_t seed);

    /// @brief sends one of the two at each interval, and starts the targets
    /// that have crashed again after a moment
    void start(duration request_interval);

    void stop();

private:
    void send_next();
    void restart_targets();

    soak_fleet & fleet;
    soak_clients & clients;
    std::mt19937_64 random;
    duration interval{0};
    bool active = false;
    bool next_is_safe = true;
};

} // namespace endivehinge::tests

#endif

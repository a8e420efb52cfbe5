#ifndef ENDIVEHINGE_TESTS_SOAK_SOAK_CROWDS_HPP
#define ENDIVEHINGE_TESTS_SOAK_SOAK_CROWDS_HPP

#include <cstdint> // uint64_t
#include <memory>  // unique_ptr
#include <random>  // mt19937_64
#include <string>  // string
#include <vector>  // vector

#include "client_crowd.hpp"
#include "soak_fleet.hpp"

namespace endivehinge::tests
{

/// @brief clients that do not behave: unfinished heads and bodies, bodies over
/// the limit, responses that are not read, connections without a request
///
/// Each crowd is at a random listener of a random node; a few overlap.
/// @note thread safety: none; used on one event loop
class soak_crowds
{
public:
    soak_crowds(soak_fleet & harmed, std::uint64_t seed);

    /// @brief begins; a crowd replaces the oldest one at each interval
    void start(duration crowd_interval);

    /// @brief ends all crowds
    void stop();

    /// @brief crowds so far
    [[nodiscard]] std::size_t count() const;

    /// @brief nodes that took more than the memory in their settings
    [[nodiscard]] std::vector<std::string> const & violations() const;

private:
    void add_crowd();
    void step();
    void check_memory();
    [[nodiscard]] client_script draw_script();
    [[nodiscard]] int pick(int first, int last);

    soak_fleet & fleet;
    std::mt19937_64 random;
    duration interval{0};
    bool active = false;
    std::size_t drawn = 0;
    std::vector<std::unique_ptr<client_crowd>> crowds;
    std::vector<std::string> found;
};

} // namespace endivehinge::tests

#endif

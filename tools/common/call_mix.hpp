#ifndef ENDIVEHINGE_TOOLS_COMMON_CALL_MIX_HPP
#define ENDIVEHINGE_TOOLS_COMMON_CALL_MIX_HPP

#include <cstdint> // uint64_t
#include <random>  // mt19937_64
#include <string>  // string
#include <vector>  // vector

#include <common/call_plan.hpp>

namespace endivehinge::tools
{

/// @brief draws the calls of one caller; the same seed draws the same calls
/// @note thread safety: one thread
class call_mix
{
public:
    /// @param kinds at least one
    /// @param caller names the caller in the names of its calls
    call_mix(std::vector<call_kind> kinds,
             std::string caller,
             std::uint64_t seed);

    /// @brief the next call
    /// @param now what a key's time stamp tells
    [[nodiscard]] call_plan next(wall_time now);

    /// @brief the pause before it
    /// @param mean of an exponential spread
    [[nodiscard]] duration pause(duration mean);

    /// @brief a number below a bound
    /// @param bound at least 1
    [[nodiscard]] std::size_t below(std::size_t bound);

private:
    call_kind const & choose();

    std::vector<call_kind> kinds;
    std::string caller;
    std::mt19937_64 random;
    std::uint64_t count = 0;
};

/// @brief a UUID of version 7, RFC 9562
/// @param now its time stamp
/// @param random its other bits
/// @note pure
[[nodiscard]] std::string make_uuid_v7(wall_time now, std::mt19937_64 & random);

} // namespace endivehinge::tools

#endif

#ifndef ENDIVEHINGE_POLICY_BURN_COUNTER_HPP
#define ENDIVEHINGE_POLICY_BURN_COUNTER_HPP

#include <array>   // array
#include <cstdint> // uint32_t, uint64_t
#include <vector>  // vector

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief the requests of one span of time that ends now
struct burn_window
{
    duration length;
    std::uint64_t total = 0;
    std::uint64_t bad = 0;
};

/// @brief the spans over which burn is reported
constexpr std::array<duration, 4> burn_window_lengths = {
    std::chrono::minutes(5),
    std::chrono::minutes(30),
    std::chrono::hours(1),
    std::chrono::hours(6),
};

/// @brief how fast an error budget is spent: 1 spends just all of it
/// @param window the requests
/// @param target_share the share that is to be good, from 0 to below 1
/// @return 0 where there were no requests
/// @note pure; thread safety: any thread
[[nodiscard]] double burn_rate(burn_window const & window, double target_share);

/// @brief counts good and bad requests by the minute, for the longest window
/// @note bounded; thread safety: as a plain object
class burn_counter
{
public:
    /// @brief counts one request
    /// @param now does not go back
    /// @param good whether it met the objective
    void record(time_point now, bool good);

    /// @brief the requests of each span that ends now
    [[nodiscard]] std::vector<burn_window> windows(time_point now) const;

private:
    struct bucket
    {
        std::int64_t minute = -1;
        std::uint32_t total = 0;
        std::uint32_t bad = 0;
    };

    std::vector<bucket> buckets;
};

} // namespace endivehinge

#endif

#ifndef ENDIVEHINGE_POLICY_BURN_COUNTER_HPP
#define ENDIVEHINGE_POLICY_BURN_COUNTER_HPP

#include <array>   // array
#include <cstdint> // uint32_t, uint64_t
#include <vector>  // vector

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief request counts of one time window that ends now
struct burn_window
{
    duration length;
    std::uint64_t total = 0;
    std::uint64_t bad = 0;
};

/// @brief lengths of the windows for which the burn rate is reported
constexpr std::array<duration, 4> burn_window_lengths = {
    std::chrono::minutes(5),
    std::chrono::minutes(30),
    std::chrono::hours(1),
    std::chrono::hours(6),
};

/// @brief the consumption rate of an error budget; 1 uses it up exactly
/// @param window the request counts
/// @param target_share the objective's share of good requests, in [0, 1)
/// @return the burn rate, or 0 without requests
/// @note pure; thread safety: any thread
[[nodiscard]] double burn_rate(burn_window const & window, double target_share);

/// @brief counts good and bad requests per minute over the longest window
/// @note memory is bounded; thread safety: none for concurrent modification
class burn_counter
{
public:
    /// @brief counts one request
    /// @param now not earlier than in the previous call
    /// @param good whether the request met the objective
    void record(time_point now, bool good);

    /// @brief the request counts of each window that ends now
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

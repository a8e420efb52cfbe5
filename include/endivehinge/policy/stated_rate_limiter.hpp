#ifndef ENDIVEHINGE_POLICY_STATED_RATE_LIMITER_HPP
#define ENDIVEHINGE_POLICY_STATED_RATE_LIMITER_HPP

#include <cstddef>  // size_t
#include <optional> // optional

#include <endivehinge/core/clock.hpp>
#include <endivehinge/policy/start_rate_bucket.hpp>

namespace endivehinge
{

/// @brief limits the request rate of a target to what the target states
///
/// Load pattern: a target in need, for example on a machine that it shares,
/// takes a few requests per second from all nodes together, with slots free.
/// All requests pass the node beside it, so one bucket there is enough.
/// @note pure; not thread-safe, the owner serialises all calls
class stated_rate_limiter
{
public:
    /// @brief sets the limit that the target states now
    /// @param requests_per_second 0 or greater; no value: none
    void set(std::optional<double> requests_per_second, time_point now);

    /// @brief the limit that the target states
    [[nodiscard]] std::optional<double> limit() const;

    /// @brief whether a request may start
    [[nodiscard]] bool can_start(time_point now);

    /// @brief consumes the token of a request that starts
    void record_start();

    /// @brief time until the given number of requests could have started
    /// @return 0 without a limit
    [[nodiscard]] duration time_until_start(std::size_t requests,
                                            time_point now) const;

    /// @brief time between two starts at the limit; 0 without one
    [[nodiscard]] duration start_interval() const;

    /// @brief earliest start of the next request, as of the last can_start()
    /// @return a time in the past if a request may start immediately
    [[nodiscard]] time_point next_start_time() const;

private:
    std::optional<double> stated;
    start_rate_bucket bucket;
};

} // namespace endivehinge

#endif

#ifndef ENDIVEHINGE_POLICY_LATENCY_MOVING_AVERAGE_HPP
#define ENDIVEHINGE_POLICY_LATENCY_MOVING_AVERAGE_HPP

#include <optional> // optional

#include <endivehinge/core/clock.hpp>
#include <endivehinge/policy/latency_observation.hpp>

namespace endivehinge
{

/// @brief moving average of the latency that this node observes at a target
///
/// Independent of the load that the target reports.
/// @note thread safety: none; the owner serialises calls
class latency_moving_average
{
public:
    /// @brief records a response
    void answered(duration latency, time_point now);

    /// @brief records a failed request as slow, so that a target that fails
    /// quickly does not appear fast
    void failed(time_point now);

    /// @brief the moving average; no value before the first request ends
    [[nodiscard]] std::optional<latency_observation> value() const;

private:
    std::optional<latency_observation> mean;
};

} // namespace endivehinge

#endif

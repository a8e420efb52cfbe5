#ifndef ENDIVEHINGE_POLICY_LATENCY_MOVING_AVERAGE_HPP
#define ENDIVEHINGE_POLICY_LATENCY_MOVING_AVERAGE_HPP

#include <optional> // optional

#include <endivehinge/core/clock.hpp>
#include <endivehinge/policy/latency_observation.hpp>

namespace endivehinge
{

/// @brief what own requests to one target took, whatever it says of itself
/// @note thread safety: none; the owner serialises
class latency_moving_average
{
public:
    /// @brief takes in an answer
    void answered(duration latency, time_point now);

    /// @brief takes in a request that the target failed; it counts as slow,
    /// so that a target which fails fast does not look fast
    void failed(time_point now);

    /// @brief the moving mean; nothing before the first answer
    [[nodiscard]] std::optional<latency_observation> value() const;

private:
    std::optional<latency_observation> mean;
};

} // namespace endivehinge

#endif

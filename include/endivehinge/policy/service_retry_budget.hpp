#ifndef ENDIVEHINGE_POLICY_SERVICE_RETRY_BUDGET_HPP
#define ENDIVEHINGE_POLICY_SERVICE_RETRY_BUDGET_HPP

#include <array>   // array
#include <cstddef> // size_t
#include <cstdint> // int64_t, uint32_t

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief bounds of a service_retry_budget
struct service_retry_budget_options
{
    // repeats for each request
    double share = 0.2;
    // repeats of all nodes together beyond the share
    double burst = 0;
    duration window = std::chrono::seconds(10);
};

/// @brief bounds the repeated arrivals of one service in a sliding window
///
/// Answers the load pattern of workers that fail while clients press: each
/// node spends its own share and an equal part of the burst, so the sum over
/// all nodes holds without messages.
/// @note pure; thread safety: none, the owner serialises
class service_retry_budget
{
public:
    explicit service_retry_budget(service_retry_budget_options chosen = {});

    /// @brief a request for the service came in
    void record_request(time_point now);

    /// @brief asks for one repeat
    /// @param nodes how many nodes share the burst, at least 1
    /// @return whether it may be made; then it is spent
    [[nodiscard]] bool try_spend(time_point now, std::size_t nodes);

    /// @brief repeats that could be made now
    /// @param nodes how many nodes share the burst, at least 1
    [[nodiscard]] double left(time_point now, std::size_t nodes);

private:
    // a slice more than the window, so that a partial one is counted whole
    static constexpr std::size_t slices = 11;

    struct slice
    {
        std::int64_t number = -1;
        std::uint32_t requests = 0;
        std::uint32_t repeats = 0;
    };

    [[nodiscard]] slice & current(time_point now);

    service_retry_budget_options options;
    std::array<slice, slices> recent;
};

} // namespace endivehinge

#endif

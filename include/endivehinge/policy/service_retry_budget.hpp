#ifndef ENDIVEHINGE_POLICY_SERVICE_RETRY_BUDGET_HPP
#define ENDIVEHINGE_POLICY_SERVICE_RETRY_BUDGET_HPP

#include <array>   // array
#include <cstddef> // size_t
#include <cstdint> // int64_t, uint32_t

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief limits of a service_retry_budget
struct service_retry_budget_options
{
    // retries allowed per request
    double retry_share = 0.2;
    // additional retries per window, summed over all nodes
    double burst = 0;
    duration window = std::chrono::seconds(10);
};

/// @brief limits the retries of one service in a sliding window
///
/// Prevents retries from multiplying the load when targets fail while clients
/// keep sending. Each node spends its own share and an equal part of the
/// burst, so the limit over all nodes holds without coordination.
/// @note pure; not thread-safe, the owner serialises all calls
class service_retry_budget
{
public:
    explicit service_retry_budget(service_retry_budget_options chosen = {});

    /// @brief counts a new request for the service
    void record_request(time_point now);

    /// @brief spends one retry if the budget allows it
    /// @param nodes number of nodes that share the burst, at least 1
    /// @return whether the retry may be sent
    [[nodiscard]] bool try_spend(time_point now, std::size_t nodes);

    /// @brief number of retries that could be sent now
    /// @param nodes number of nodes that share the burst, at least 1
    [[nodiscard]] double available(time_point now, std::size_t nodes);

private:
    // ten slices cover the window; one more holds the oldest partial slice,
    // whose retries are counted in full
    static constexpr std::size_t slice_count = 11;

    struct slice
    {
        std::int64_t index = -1;
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };

    [[nodiscard]] slice & current_slice(time_point now);

    service_retry_budget_options options;
    std::array<slice, slice_count> slices;
};

} // namespace endivehinge

#endif

#ifndef ENDIVEHINGE_POLICY_LOAD_ESTIMATE_HPP
#define ENDIVEHINGE_POLICY_LOAD_ESTIMATE_HPP

namespace endivehinge
{

/// @brief estimated current load of a target; times in nanoseconds
struct load_estimate
{
    double in_flight = 0;
    double limit = 1;
    // service time of one request
    double latency = 0;
    // network time to the target and back
    double round_trip_time = 0;
    // the target accepts no new requests
    bool rejects_requests = false;

    /// @brief whether one more request could start without waiting
    [[nodiscard]] bool has_spare_capacity() const;

    /// @brief expected queueing time, allowing for an uncertain in_flight
    [[nodiscard]] double expected_wait() const;

    /// @brief expected time until the response
    [[nodiscard]] double expected_response_time() const;
};

} // namespace endivehinge

#endif

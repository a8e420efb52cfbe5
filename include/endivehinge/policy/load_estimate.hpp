#ifndef ENDIVEHINGE_POLICY_LOAD_ESTIMATE_HPP
#define ENDIVEHINGE_POLICY_LOAD_ESTIMATE_HPP

namespace endivehinge
{

/// @brief what a target is taken to be like now; times in nanoseconds
struct load_estimate
{
    double in_flight = 0;
    double limit = 1;
    // time of one run
    double latency = 0;
    // travel there and back
    double round_trip_time = 0;
    // takes no new work
    bool closed = false;

    /// @brief whether one more request could start at once
    [[nodiscard]] bool has_room() const;

    /// @brief expected wait for a place, where in_flight is uncertain
    [[nodiscard]] double wait() const;

    /// @brief expected time until the answer
    [[nodiscard]] double answer_time() const;
};

} // namespace endivehinge

#endif

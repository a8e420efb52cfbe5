#ifndef ENDIVEHINGE_POLICY_PLACEMENT_LIMIT_HPP
#define ENDIVEHINGE_POLICY_PLACEMENT_LIMIT_HPP

#include <cstdint> // uint32_t

#include <endivehinge/core/clock.hpp>
#include <endivehinge/policy/request_urgency.hpp>
#include <endivehinge/policy/target_admission_verdict.hpp>

namespace endivehinge
{

/// @brief limits the placements of one request
///
/// Handles a service whose targets all lack capacity: cold after a restart of
/// the fleet, or full in a burst. The targets tried first looked best, so
/// further ones rarely accept the request, while each refusal takes processor
/// time of two nodes that requests in progress need. After a refusal, a request
/// that would miss its latency target even on an idle target is not tried at
/// another one: it would delay requests that can still be on time.
/// @note pure; not thread-safe, the owner serialises all calls
class placement_limit
{
public:
    /// @param arrival when the request entered the system
    /// @param run_time its expected run time on a target of normal speed
    placement_limit(time_point arrival, duration run_time);

    /// @brief whether the request may be placed once more
    [[nodiscard]] bool allows_placement(request_urgency const & urgency,
                                        time_point now) const;

    /// @brief records that the request is placed on a target
    void record_placement();

    /// @brief records that a target refused the request
    void record_refusal(admission_refusal reason);

private:
    time_point arrived_at;
    duration expected_run_time;
    std::uint32_t placements = 0;
    // refusals for lack of capacity
    std::uint32_t capacity_refusals = 0;
};

} // namespace endivehinge

#endif

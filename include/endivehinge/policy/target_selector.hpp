#ifndef ENDIVEHINGE_POLICY_TARGET_SELECTOR_HPP
#define ENDIVEHINGE_POLICY_TARGET_SELECTOR_HPP

#include <functional> // function
#include <optional>   // optional
#include <vector>     // vector

#include <endivehinge/policy/slow_threshold.hpp>
#include <endivehinge/policy/target_candidate.hpp>

namespace endivehinge
{

/// @brief weights of a target_selector
struct target_selector_options
{
    // age at which a reported slowdown counts half
    duration slowdown_half_life = std::chrono::milliseconds(100);
    // age at which a report that the target is closed expires: a node that
    // stopped is back by then, and other changes are in the entries
    duration closed_max_age = std::chrono::milliseconds(1000);
    // a target with a slowdown above this declines requests
    double slow_threshold = default_slow_threshold;
    // share of the time for which a target is slow, assumed in place of a
    // missing or outdated report
    double default_slow_share = 0.2;
    // cost of a target that declines the request, relative to the latency
    // target
    double decline_cost = 0.3;
    // cost of a target in another failure domain, relative to the latency
    // target
    double remote_domain_cost = 0.2;
    // cost of a target beside another node of the same failure domain,
    // relative to the latency target
    double local_domain_cost = 0.01;
    // cost of a failed request, relative to the latency target
    double failure_cost = 2;
    // relative increase of the run time from an idle to a full target
    double full_load_penalty = 0.3;
    // random increase of each cost, at most this share; keeps nodes with the
    // same view from all selecting the same target
    double jitter = 0.05;
};

/// @brief properties of a request that determine its placement
struct placement_request
{
    // expected run time on a target without slowdown
    duration run_time{0};
    duration latency_target{0};
};

/// @brief selects the target that is expected to complete a request first
///
/// Handles targets that noisy neighbours slow for fractions of a second. A
/// reported slowdown loses weight with age, requests that this node sent since
/// the report are added to the load, and a closer target is preferred only by
/// the latency that it saves. Handles cold targets as well, by the delay until
/// their rate limit allows another request.
/// @note pure; const member functions are safe to call concurrently
class target_selector
{
public:
    explicit target_selector(target_selector_options chosen = {});

    /// @brief index of the candidate with the lowest cost
    /// @param random returns random numbers in [0, 1)
    /// @return nothing if all candidates are closed
    [[nodiscard]] std::optional<std::size_t>
    choose(std::vector<target_candidate> const & candidates,
           placement_request const & request,
           std::function<double()> const & random) const;

    /// @brief expected time until the candidate completes the request, plus
    /// the costs of distance and failures, in seconds
    [[nodiscard]] double cost(target_candidate const & candidate,
                              placement_request const & request) const;

private:
    [[nodiscard]] bool is_closed(target_candidate const & candidate) const;

    target_selector_options options;
};

} // namespace endivehinge

#endif

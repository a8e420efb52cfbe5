#ifndef ENDIVEHINGE_POLICY_TARGET_SELECTOR_HPP
#define ENDIVEHINGE_POLICY_TARGET_SELECTOR_HPP

#include <functional> // function
#include <optional>   // optional
#include <vector>     // vector

#include <endivehinge/policy/target_candidate.hpp>

namespace endivehinge
{

/// @brief weights of a target_selector
struct target_selector_options
{
    // after this time half of a reported slowdown is still believed
    duration slowdown_half_life = std::chrono::milliseconds(100);
    // the slowdown assumed where nothing is known
    double usual_slowdown = 1.5;
    // cost of another failure domain, as a share of the latency target
    double domain_cost = 0.08;
    // cost of a hop to another node of the same domain, likewise
    double hop_cost = 0.01;
    // cost of a failed run, in latency targets
    double failure_cost = 2;
    // run time of a full target relative to that of an idle one
    double crowding = 0.3;
    // spread that keeps nodes with the same view from choosing alike
    double jitter = 0.05;
};

/// @brief what placing a request needs to know of it
struct placement_request
{
    // the time that it is expected to run on a target at its usual speed
    duration work{0};
    duration latency_target{0};
};

/// @brief chooses the target on which a request is expected to end first
///
/// Answers the load pattern of neighbours that slow targets for fractions of
/// a second: reported slowdown and load count by their age, the node's own
/// sends since then are added, and a nearer target is preferred only by as
/// much as its distance is worth.
/// @note pure; thread safety: const
class target_selector
{
public:
    explicit target_selector(target_selector_options chosen = {});

    /// @brief the index of the best candidate
    /// @param random gives numbers in [0, 1)
    /// @return nothing where every candidate is closed
    [[nodiscard]] std::optional<std::size_t>
    choose(std::vector<target_candidate> const & candidates,
           placement_request const & request,
           std::function<double()> const & random) const;

    /// @brief the expected time until the candidate ends the request, seconds,
    /// with its costs
    [[nodiscard]] double cost(target_candidate const & candidate,
                              placement_request const & request) const;

private:
    target_selector_options options;
};

} // namespace endivehinge

#endif

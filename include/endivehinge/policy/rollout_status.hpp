#ifndef ENDIVEHINGE_POLICY_ROLLOUT_STATUS_HPP
#define ENDIVEHINGE_POLICY_ROLLOUT_STATUS_HPP

#include <cstdint> // uint64_t
#include <string>  // string
#include <vector>  // vector

#include <endivehinge/core/ids.hpp>

namespace endivehinge
{

/// @brief state of a roll-out as operators see it
enum class rollout_state
{
    none,        // not started
    running,     // a coordinator is in charge
    completed,   // only the new version is allowed
    rolled_back, // the new version is not allowed
};

/// @brief part of a running roll-out
enum class rollout_stage
{
    trial,    // the new version gets a bounded share
    shifting, // the traffic moves to the new version in steps
};

/// @brief the name of a state in logs and reports; stable across versions
/// @note thread safety: any thread
[[nodiscard]] char const * to_string(rollout_state state);

/// @brief the name of a stage in logs and reports; stable across versions
/// @note thread safety: any thread
[[nodiscard]] char const * to_string(rollout_stage stage);

/// @brief state of a roll-out as written to the store
struct rollout_status
{
    rollout_state state = rollout_state::none;
    // version of the order for which this was written
    software_version target_version;
    // node that wrote it
    node_name coordinator;
    // increases with each change of the coordinator
    std::uint64_t term = 0;
    // first term of this order; later ones may use less of the slack
    std::uint64_t first_term = 0;
    rollout_stage stage = rollout_stage::trial;
    // share of requests sent to the new version; 1 closes the old targets. 0 in
    // stage trial: see rollout_trial_share()
    double share = 0;
    // targets of earlier orders that were never completed; they get nothing
    std::vector<software_version> excluded;
    // of the latest step, for operators
    std::string reason;

    friend bool operator==(rollout_status const & a, rollout_status const & b)
    {
        return a.state == b.state && a.target_version == b.target_version &&
               a.coordinator == b.coordinator && a.term == b.term &&
               a.first_term == b.first_term && a.excluded == b.excluded &&
               a.stage == b.stage && a.share == b.share && a.reason == b.reason;
    }

    friend bool operator!=(rollout_status const & a, rollout_status const & b)
    {
        return !(a == b);
    }
};

} // namespace endivehinge

#endif

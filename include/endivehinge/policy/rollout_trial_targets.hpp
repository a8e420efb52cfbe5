#ifndef ENDIVEHINGE_POLICY_ROLLOUT_TRIAL_TARGETS_HPP
#define ENDIVEHINGE_POLICY_ROLLOUT_TRIAL_TARGETS_HPP

#include <cstddef> // size_t
#include <vector>  // vector

#include <endivehinge/core/ids.hpp>

namespace endivehinge
{

/// @brief number of new targets that get requests in stage trial
/// @note pure; thread safety: any thread
[[nodiscard]] std::size_t count_rollout_trial_targets(std::size_t new_targets,
                                                      std::size_t old_targets);

/// @brief the new targets that get requests in stage trial
///
/// Every node computes the same ones, so that requests are offered only where
/// the coordinator's grants are. There are few, so that the exposed share
/// loads them like old targets, and two at least, so that one faulty instance
/// is recognised.
/// @param new_nodes nodes beside ready targets of the new version
/// @param old_targets number of ready old targets
/// @note pure; thread safety: any thread
[[nodiscard]] std::vector<node_name>
choose_rollout_trial_targets(software_version const & target_version,
                             std::vector<node_name> new_nodes,
                             std::size_t old_targets);

} // namespace endivehinge

#endif

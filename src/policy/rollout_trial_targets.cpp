#include <endivehinge/policy/rollout_trial_targets.hpp>

#include <algorithm> // max, min, sort
#include <cstdint>   // uint64_t

#include <endivehinge/core/stable_hash.hpp>

namespace endivehinge
{
namespace
{

// one faulty instance is recognised only by comparison with another one
constexpr std::size_t min_trial_targets = 2;
// old targets for each target on trial: half of the exposed share of the design
// (0.05 of 20 targets) is the load of one
constexpr std::size_t old_targets_per_trial_target = 20;

} // namespace

std::size_t count_rollout_trial_targets(std::size_t new_targets,
                                        std::size_t old_targets)
{
    std::size_t const wanted =
        std::max(min_trial_targets, old_targets / old_targets_per_trial_target);
    return std::min(new_targets, wanted);
}

std::vector<node_name>
choose_rollout_trial_targets(software_version const & target_version,
                             std::vector<node_name> new_nodes,
                             std::size_t old_targets)
{
    auto const rank = [&target_version](node_name const & node)
    {
        return stable_hash(node.value(), stable_hash(target_version.value()));
    };
    std::sort(new_nodes.begin(),
              new_nodes.end(),
              [&rank](node_name const & a, node_name const & b)
              {
                  return rank(a) < rank(b);
              });
    new_nodes.resize(
        count_rollout_trial_targets(new_nodes.size(), old_targets));
    return new_nodes;
}

} // namespace endivehinge

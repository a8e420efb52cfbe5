#include <endivehinge/policy/rollout_election.hpp>

#include <algorithm> // count_if
#include <cstdint>   // int64_t, uint64_t
#include <utility>   // pair

#include <endivehinge/core/stable_hash.hpp>

namespace endivehinge
{
namespace
{

using candidate_rank = std::pair<std::uint64_t, std::string>;

candidate_rank rank_of(service_name const & service, node_name const & node)
{
    return {stable_hash(node.value(), stable_hash(service.value())),
            node.value()};
}

bool is_eligible(rollout_candidate const & candidate)
{
    return candidate.reachable && candidate.ready;
}

} // namespace

std::optional<node_name>
elect_rollout_coordinator(service_name const & service,
                          std::vector<rollout_candidate> const & candidates)
{
    std::optional<node_name> first;
    for (auto const & candidate : candidates)
    {
        if (is_eligible(candidate) &&
            (!first ||
             rank_of(service, candidate.node) < rank_of(service, *first)))
        {
            first = candidate.node;
        }
    }
    return first;
}

bool should_take_over(node_name const & self,
                      rollout_entry const & entry,
                      std::vector<rollout_candidate> const & candidates,
                      duration since_coordinator)
{
    auto const state = state_of(entry);
    if (state == rollout_state::completed ||
        state == rollout_state::rolled_back)
    {
        return false;
    }
    bool const is_running = state == rollout_state::running;
    if (is_running && entry.status->coordinator == self)
    {
        // this process restarted and has no role
        return true;
    }
    auto const own_rank = rank_of(entry.order.service, self);
    auto const is_ahead = [&](rollout_candidate const & candidate)
    {
        return is_eligible(candidate) && candidate.node != self &&
               !(is_running && candidate.node == entry.status->coordinator) &&
               rank_of(entry.order.service, candidate.node) < own_rank;
    };
    // a candidate ahead that has no contact to the store takes no action, so
    // that each one waits for those ahead of it only for a time
    auto const turns =
        std::count_if(candidates.begin(), candidates.end(), is_ahead) +
        (is_running ? 1 : 0);
    return since_coordinator >= rollout_takeover_delay * turns;
}

} // namespace endivehinge

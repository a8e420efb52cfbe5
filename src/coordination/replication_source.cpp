#include <endivehinge/coordination/replication_source.hpp>

#include <algorithm> // max, sort
#include <utility>   // pair

#include <endivehinge/coordination/relay_tree.hpp>
#include <endivehinge/core/stable_hash.hpp>

namespace endivehinge
{
namespace
{

// nodes that replicate from one node; bounds the calls it receives
constexpr std::size_t max_group_size = 64;
// nodes of a group that may call the store if those before them fail; more
// would add calls to a store that is down, and reach it no sooner
constexpr std::size_t max_store_callers = 3;

// nodes that a node notifies of a change; thirty nodes of a failure domain are
// two levels from the first, and five copies of 1,400 new routes fit in one
// burst of transfer_budget
constexpr std::size_t relay_fan_out = 5;

std::uint64_t rank_of(node_name const & node)
{
    return stable_hash(node.value());
}

std::uint64_t
group_count_of(std::vector<replication_candidate> const & candidates)
{
    return candidates.size() / max_group_size + 1;
}

} // namespace

replication_source
choose_replication_source(node_name const & own,
                          std::vector<replication_candidate> const & candidates,
                          std::vector<endpoint> const & seeds)
{
    auto const own_rank = rank_of(own);
    if (candidates.empty())
    {
        return seeds.empty()
                   ? replication_source{std::nullopt, true}
                   : replication_source{seeds[own_rank % seeds.size()], false};
    }
    auto const group_count = group_count_of(candidates);
    std::size_t predecessors = 0;
    replication_candidate const * source = nullptr;
    for (auto const & candidate : candidates)
    {
        auto const rank = rank_of(candidate.node);
        bool const is_same_group = rank % group_count == own_rank % group_count;
        if (!is_same_group || rank >= own_rank)
        {
            continue;
        }
        predecessors += 1;
        if (!candidate.failed &&
            (source == nullptr || rank < rank_of(source->node)))
        {
            source = &candidate;
        }
    }
    if (source != nullptr)
    {
        return {source->peer, false};
    }
    return {std::nullopt, predecessors < max_store_callers};
}

std::vector<endpoint>
relay_children(node_name const & own,
               std::vector<replication_candidate> const & candidates)
{
    auto const own_rank = rank_of(own);
    auto const group_count = group_count_of(candidates);
    std::vector<std::pair<std::uint64_t, endpoint>> members;
    std::size_t own_index = 0;
    for (auto const & candidate : candidates)
    {
        auto const rank = rank_of(candidate.node);
        if (candidate.failed || rank % group_count != own_rank % group_count)
        {
            continue;
        }
        own_index += rank < own_rank ? 1U : 0U;
        members.emplace_back(rank, candidate.peer);
    }
    std::sort(members.begin(),
              members.end(),
              [](auto const & a, auto const & b)
              {
                  return a.first < b.first;
              });
    // positions count the own node, which is not among the members
    auto const first = own_index * relay_fan_out;
    std::vector<endpoint> children;
    for (auto i = first; i < members.size() && i < first + relay_fan_out; ++i)
    {
        children.push_back(members[i].second);
    }
    return children;
}

} // namespace endivehinge

#include <endivehinge/coordination/replication_source.hpp>

#include <algorithm> // max

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

std::uint64_t rank_of(node_name const & node)
{
    return stable_hash(node.value());
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
    std::uint64_t const group_count = candidates.size() / max_group_size + 1;
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

} // namespace endivehinge

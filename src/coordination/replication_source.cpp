#include <endivehinge/coordination/replication_source.hpp>

#include <algorithm> // max

#include <endivehinge/core/stable_hash.hpp>

namespace endivehinge
{
namespace
{

// nodes that replicate from one node; bounds the calls it receives
constexpr std::size_t max_group_size = 32;

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
    if (candidates.empty())
    {
        return seeds.empty() ? replication_source{}
                             : replication_source{seeds.front()};
    }
    std::uint64_t const group_count = candidates.size() / max_group_size + 1;
    auto const own_rank = rank_of(own);
    replication_candidate const * source = nullptr;
    for (auto const & candidate : candidates)
    {
        auto const rank = rank_of(candidate.node);
        bool const is_same_group = rank % group_count == own_rank % group_count;
        if (!candidate.failed && is_same_group && rank < own_rank &&
            (source == nullptr || rank < rank_of(source->node)))
        {
            source = &candidate;
        }
    }
    return source == nullptr ? replication_source{}
                             : replication_source{source->peer};
}

} // namespace endivehinge

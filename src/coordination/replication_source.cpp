#include <endivehinge/coordination/replication_source.hpp>

#include <algorithm> // max

#include <endivehinge/core/stable_hash.hpp>

namespace endivehinge
{
namespace
{

// nodes that follow one node; bounds the calls that it gets
constexpr std::size_t group_size = 32;

std::uint64_t rank_of(node_name const & node)
{
    return stable_hash(node.value());
}

} // namespace

replication_source
choose_replication_source(node_name const & own,
                          std::vector<replication_candidate> const & others,
                          std::vector<endpoint> const & seeds)
{
    if (others.empty())
    {
        return seeds.empty() ? replication_source{}
                             : replication_source{seeds.front()};
    }
    std::uint64_t const groups = others.size() / group_size + 1;
    auto const own_rank = rank_of(own);
    replication_candidate const * first = nullptr;
    for (auto const & other : others)
    {
        auto const rank = rank_of(other.node);
        bool const same_group = rank % groups == own_rank % groups;
        if (!other.failed && same_group && rank < own_rank &&
            (first == nullptr || rank < rank_of(first->node)))
        {
            first = &other;
        }
    }
    return first == nullptr ? replication_source{}
                            : replication_source{first->peer};
}

} // namespace endivehinge

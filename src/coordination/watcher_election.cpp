#include <endivehinge/coordination/watcher_election.hpp>

#include <utility> // pair

#include <endivehinge/core/stable_hash.hpp>

namespace endivehinge
{
bool is_watcher(node_name const & self,
                failure_domain const & domain,
                std::vector<member> const & members,
                std::size_t watchers)
{
    std::pair const own_rank(stable_hash(self.value()), self);
    std::size_t higher_ranked = 0;
    for (auto const & candidate : members)
    {
        if (candidate.domain != domain ||
            candidate.state != member_state::alive || candidate.name == self)
        {
            continue;
        }
        if (std::pair(stable_hash(candidate.name.value()), candidate.name) >
            own_rank)
        {
            ++higher_ranked;
        }
    }
    return higher_ranked < watchers;
}

} // namespace endivehinge

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
    std::pair const own(stable_hash(self.value()), self);
    std::size_t ahead = 0;
    for (auto const & other : members)
    {
        if (other.domain != domain || other.state != member_state::alive ||
            other.name == self)
        {
            continue;
        }
        if (std::pair(stable_hash(other.name.value()), other.name) > own)
        {
            ++ahead;
        }
    }
    return ahead < watchers;
}

} // namespace endivehinge

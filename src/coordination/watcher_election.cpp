#include <endivehinge/coordination/watcher_election.hpp>

#include <cstdint> // uint64_t
#include <string>  // string
#include <utility> // pair

namespace endivehinge
{
namespace
{

constexpr std::uint64_t fnv_offset = 0xcbf29ce484222325U;
constexpr std::uint64_t fnv_prime = 0x100000001b3U;
constexpr std::uint64_t mix_factor = 0xff51afd7ed558ccdU;
constexpr unsigned int mix_shift = 33;

// absl::Hash differs from process to process, and these have to agree
std::uint64_t rank_hash(std::string const & name)
{
    std::uint64_t hash = fnv_offset;
    for (char const letter : name)
    {
        hash ^= static_cast<unsigned char>(letter);
        hash *= fnv_prime;
    }
    hash ^= hash >> mix_shift;
    hash *= mix_factor;
    return hash ^ (hash >> mix_shift);
}

} // namespace

bool is_watcher(node_name const & self,
                failure_domain const & domain,
                std::vector<member> const & members,
                std::size_t watchers)
{
    std::pair const own(rank_hash(self.value()), self);
    std::size_t ahead = 0;
    for (auto const & other : members)
    {
        if (other.domain != domain || other.state != member_state::alive ||
            other.name == self)
        {
            continue;
        }
        if (std::pair(rank_hash(other.name.value()), other.name) > own)
        {
            ++ahead;
        }
    }
    return ahead < watchers;
}

} // namespace endivehinge

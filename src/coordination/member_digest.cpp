#include <endivehinge/coordination/member_digest.hpp>

#include <endivehinge/core/stable_hash.hpp>

namespace endivehinge
{
std::size_t member_digest::bucket_of(node_name const & name)
{
    return stable_hash(name.value()) % buckets;
}

void member_digest::toggle(member const & about)
{
    std::uint64_t const name = stable_hash(about.name.value());
    std::uint64_t const moment =
        stable_hash(about.sequence, stable_hash(about.run.value(), name));
    this->sums.at(name % buckets) ^= static_cast<std::uint32_t>(moment >> 32U);
}

std::vector<std::uint32_t> member_digest::words() const
{
    return {this->sums.begin(), this->sums.end()};
}

std::vector<std::size_t>
member_digest::differing(std::vector<std::uint32_t> const & other) const
{
    std::vector<std::size_t> found;
    for (std::size_t i = 0; i < buckets; ++i)
    {
        if (other.size() != buckets || other[i] != this->sums.at(i))
        {
            found.push_back(i);
        }
    }
    return found;
}

} // namespace endivehinge

#include <endivehinge/coordination/member_digest.hpp>

#include <string> // string

namespace endivehinge
{
namespace
{

// FNV-1a and the finalizer of SplitMix64: absl::Hash differs between processes
constexpr std::uint64_t fnv_offset = 14695981039346656037ULL;
constexpr std::uint64_t fnv_prime = 1099511628211ULL;

std::uint64_t hash_text(std::string const & text)
{
    std::uint64_t hash = fnv_offset;
    for (char const c : text)
    {
        hash ^= static_cast<unsigned char>(c);
        hash *= fnv_prime;
    }
    return hash;
}

std::uint64_t mix(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

} // namespace

std::size_t member_digest::bucket_of(node_name const & name)
{
    return mix(hash_text(name.value())) % buckets;
}

void member_digest::toggle(member const & about)
{
    std::uint64_t const name = mix(hash_text(about.name.value()));
    std::uint64_t const moment =
        mix(name ^ mix(about.run.value()) ^ (about.sequence + 1));
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

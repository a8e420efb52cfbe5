#include <endivehinge/coordination/member_digest.hpp>

#include <endivehinge/core/stable_hash.hpp>

namespace endivehinge
{
std::size_t member_digest::bucket_of(node_name const & name)
{
    return stable_hash(name.value()) % bucket_count;
}

void member_digest::toggle(member const & record)
{
    std::uint64_t const name_hash = stable_hash(record.name.value());
    std::uint64_t const record_hash =
        stable_hash(record.sequence,
                    stable_hash(record.incarnation_number.value(), name_hash));
    this->bucket_checksums.at(name_hash % bucket_count) ^=
        static_cast<std::uint32_t>(record_hash >> 32U);
}

std::vector<std::uint32_t> member_digest::checksums() const
{
    return {this->bucket_checksums.begin(), this->bucket_checksums.end()};
}

std::vector<std::size_t>
member_digest::differing_buckets(std::vector<std::uint32_t> const & other) const
{
    std::vector<std::size_t> differing;
    for (std::size_t i = 0; i < bucket_count; ++i)
    {
        if (other.size() != bucket_count ||
            other[i] != this->bucket_checksums.at(i))
        {
            differing.push_back(i);
        }
    }
    return differing;
}

} // namespace endivehinge

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
    std::uint64_t const name = stable_hash(record.name.value());
    std::uint64_t const moment = stable_hash(
        record.sequence, stable_hash(record.incarnation_number.value(), name));
    this->sums.at(name % bucket_count) ^=
        static_cast<std::uint32_t>(moment >> 32U);
}

std::vector<std::uint32_t> member_digest::words() const
{
    return {this->sums.begin(), this->sums.end()};
}

std::vector<std::size_t>
member_digest::differing(std::vector<std::uint32_t> const & other) const
{
    std::vector<std::size_t> found;
    for (std::size_t i = 0; i < bucket_count; ++i)
    {
        if (other.size() != bucket_count || other[i] != this->sums.at(i))
        {
            found.push_back(i);
        }
    }
    return found;
}

} // namespace endivehinge

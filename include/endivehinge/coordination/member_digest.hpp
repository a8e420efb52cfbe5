#ifndef ENDIVEHINGE_COORDINATION_MEMBER_DIGEST_HPP
#define ENDIVEHINGE_COORDINATION_MEMBER_DIGEST_HPP

#include <array>   // array
#include <cstddef> // size_t
#include <cstdint> // uint32_t
#include <vector>  // vector

#include <endivehinge/coordination/member.hpp>

namespace endivehinge
{

/// @brief digest of a member list: one checksum per hash bucket, by which two
///        nodes find the buckets in which their lists differ without sending
///        the lists
/// @note Equal lists have equal digests on every node and machine. Thread
///       safety: none; for use on one thread.
class member_digest
{
public:
    /// @brief number of hash buckets
    static constexpr std::size_t bucket_count = 256;

    /// @brief returns the bucket of a member
    [[nodiscard]] static std::size_t bucket_of(node_name const & name);

    /// @brief adds a member, or removes one that was added before
    void toggle(member const & record);

    /// @brief returns the checksums, as carried in a gossip message
    [[nodiscard]] std::vector<std::uint32_t> checksums() const;

    /// @brief returns the buckets whose checksums differ; all buckets if the
    ///        size of `other` is wrong
    [[nodiscard]] std::vector<std::size_t>
    differing_buckets(std::vector<std::uint32_t> const & other) const;

private:
    std::array<std::uint32_t, bucket_count> bucket_checksums{};
};

} // namespace endivehinge

#endif

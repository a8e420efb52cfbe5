#ifndef ENDIVEHINGE_COORDINATION_MEMBER_DIGEST_HPP
#define ENDIVEHINGE_COORDINATION_MEMBER_DIGEST_HPP

#include <array>   // array
#include <cstddef> // size_t
#include <cstdint> // uint32_t
#include <vector>  // vector

#include <endivehinge/coordination/member.hpp>

namespace endivehinge
{

/// @brief a checksum of each of a fixed number of groups of members, by which
///        two nodes find out cheaply where their knowledge differs
/// @note the same on every node and machine; thread safety: one thread
class member_digest
{
public:
    /// @brief the number of groups
    static constexpr std::size_t bucket_count = 256;

    /// @brief the group of a member
    [[nodiscard]] static std::size_t bucket_of(node_name const & name);

    /// @brief adds a member, or takes it out again
    void toggle(member const & record);

    /// @brief the checksums, as a message carries them
    [[nodiscard]] std::vector<std::uint32_t> words() const;

    /// @brief the groups whose checksum differs; all where the size is wrong
    [[nodiscard]] std::vector<std::size_t>
    differing(std::vector<std::uint32_t> const & other) const;

private:
    std::array<std::uint32_t, bucket_count> sums{};
};

} // namespace endivehinge

#endif

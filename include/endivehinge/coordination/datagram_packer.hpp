#ifndef ENDIVEHINGE_COORDINATION_DATAGRAM_PACKER_HPP
#define ENDIVEHINGE_COORDINATION_DATAGRAM_PACKER_HPP

#include <cstddef> // size_t
#include <string>  // string
#include <vector>  // vector

#include <endivehinge/coordination/gossip_message.hpp>

namespace endivehinge
{

/// @brief the largest datagram between members, in bytes
inline constexpr std::size_t max_datagram_bytes = 1400;

/// @brief adds updates to a message for as long as its datagram stays small
/// @note counts an upper bound of the encoded size: strings that several
///       records share (service, failure domain, region) are written once
/// @note thread safety: one thread
class datagram_packer
{
public:
    /// @param filled has all its fields but the updates
    /// @param limit the most bytes that the datagram may have
    datagram_packer(gossip_message & filled, std::size_t limit);

    /// @brief adds an update unless the datagram would grow too large
    /// @return whether it was added
    [[nodiscard]] bool try_add(member_update const & update);

    /// @brief an upper bound of the encoded size, in bytes
    [[nodiscard]] std::size_t bytes() const;

private:
    std::size_t cost(member const & record) const;
    bool knows(std::string const & text) const;
    void remember(std::string const & text);
    void remember(member const & record);

    gossip_message & message;
    std::size_t limit;
    std::size_t used;
    std::vector<std::string const *> shared;
};

} // namespace endivehinge

#endif

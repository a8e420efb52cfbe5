#ifndef ENDIVEHINGE_COORDINATION_DATAGRAM_PACKER_HPP
#define ENDIVEHINGE_COORDINATION_DATAGRAM_PACKER_HPP

#include <cstddef> // size_t
#include <string>  // string
#include <vector>  // vector

#include <endivehinge/coordination/gossip_message.hpp>

namespace endivehinge
{

/// @brief maximum size of a datagram between members
inline constexpr std::size_t max_datagram_bytes = 1400;

/// @brief adds updates to a message up to a limit of its encoded size
/// @note Computes an upper bound of the encoded size. Strings that several
///       records share (service, failure domain, region) are encoded once.
/// @note thread safety: none; for use on one thread
class datagram_packer
{
public:
    /// @param partial_message message with all other fields set; outlives the
    ///        packer
    /// @param max_bytes maximum encoded size of the message
    datagram_packer(gossip_message & partial_message, std::size_t max_bytes);

    /// @brief adds an update unless the message would exceed its size limit
    /// @return whether it was added
    [[nodiscard]] bool try_add(member_update const & update);

    /// @brief upper bound of the encoded size
    [[nodiscard]] std::size_t bytes() const;

private:
    std::size_t encoded_bytes(member const & record) const;
    bool has_shared_string(std::string const & text) const;
    void add_shared_strings(std::string const & text);
    void add_shared_strings(member const & record);

    gossip_message & message;
    std::size_t max_bytes;
    std::size_t used_bytes;
    std::vector<std::string const *> shared_strings;
};

} // namespace endivehinge

#endif

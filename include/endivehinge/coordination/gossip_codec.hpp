#ifndef ENDIVEHINGE_COORDINATION_GOSSIP_CODEC_HPP
#define ENDIVEHINGE_COORDINATION_GOSSIP_CODEC_HPP

#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view

#include <endivehinge/coordination/gossip_message.hpp>
#include <endivehinge/core/failure.hpp>

namespace endivehinge
{

/// @brief converts gossip messages to datagrams and back
class gossip_codec
{
public:
    gossip_codec() = default;
    gossip_codec(gossip_codec const &) = delete;
    gossip_codec & operator=(gossip_codec const &) = delete;
    virtual ~gossip_codec() = default;

    /// @brief encodes a message as one datagram
    /// @param message made by class membership, which bounds its size
    /// @note thread safety: any thread
    [[nodiscard]] virtual std::string
    encode(gossip_message const & message) const = 0;

    /// @brief decodes a datagram; accepts untrusted bytes
    /// @param datagram as received
    /// @param reason why the datagram is not a valid message
    /// @note thread safety: any thread
    [[nodiscard]] virtual std::optional<gossip_message>
    decode(std::string_view datagram, failure & reason) const = 0;
};

} // namespace endivehinge

#endif

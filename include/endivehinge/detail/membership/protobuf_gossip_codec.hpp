#ifndef ENDIVEHINGE_DETAIL_MEMBERSHIP_PROTOBUF_GOSSIP_CODEC_HPP
#define ENDIVEHINGE_DETAIL_MEMBERSHIP_PROTOBUF_GOSSIP_CODEC_HPP

#include <endivehinge/coordination/gossip_codec.hpp>

namespace endivehinge::detail
{

/// @brief messages between members as protobuf
class protobuf_gossip_codec final : public gossip_codec
{
public:
    [[nodiscard]] std::string
    encode(gossip_message const & message) const override;

    [[nodiscard]] std::optional<gossip_message>
    decode(std::string_view datagram, failure & reason) const override;
};

} // namespace endivehinge::detail

#endif

#ifndef ENDIVEHINGE_COORDINATION_GOSSIP_MESSAGE_HPP
#define ENDIVEHINGE_COORDINATION_GOSSIP_MESSAGE_HPP

#include <cstdint> // uint32_t, uint64_t
#include <vector>  // vector

#include <endivehinge/coordination/member_update.hpp>
#include <endivehinge/core/endpoint.hpp>
#include <endivehinge/core/ids.hpp>

namespace endivehinge
{

/// @brief what a datagram between members is for
enum class gossip_kind
{
    ping = 1,
    acknowledgement = 2,
    indirect_ping = 3,    // asks the receiver to ping a third member
    announcement = 4,     // news, no answer wanted
    sync_request = 5,     // carries the sender's digest
    sync_return = 6,      // a request that asks for no request in return
    sync_response = 7,    // records that the digest showed to differ
    sync_confirmation = 8 // the digests are equal
};

/// @brief one datagram between members
struct gossip_message
{
    gossip_kind kind = gossip_kind::ping;
    // pairs an acknowledgement with its ping
    std::uint64_t sequence = 0;
    member_update sender;
    // who is to be pinged, and where for an indirect ping
    node_name subject;
    endpoint subject_address;
    // the configuration version that the sender holds
    object_version configuration;
    std::vector<member_update> updates;
    std::vector<std::uint32_t> digest;
};

/// @brief a datagram and where it goes
struct outgoing_gossip
{
    endpoint to;
    gossip_message message;
};

} // namespace endivehinge

#endif

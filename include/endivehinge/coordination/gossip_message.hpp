#ifndef ENDIVEHINGE_COORDINATION_GOSSIP_MESSAGE_HPP
#define ENDIVEHINGE_COORDINATION_GOSSIP_MESSAGE_HPP

#include <cstdint> // uint32_t, uint64_t
#include <vector>  // vector

#include <endivehinge/coordination/member_update.hpp>
#include <endivehinge/core/endpoint.hpp>
#include <endivehinge/core/ids.hpp>

namespace endivehinge
{

/// @brief purpose of a gossip message
enum class gossip_kind
{
    ping = 1,
    acknowledgement = 2,
    indirect_ping = 3,        // requests that the receiver ping a third member
    announcement = 4,         // membership state or updates, no response
    sync_request = 5,         // carries the sender's digest
    sync_reverse_request = 6, // as sync_request, not answered with a request
    sync_response = 7,        // records of buckets whose checksums differ
    sync_confirmation = 8     // the digests are equal
};

/// @brief one datagram between members
struct gossip_message
{
    gossip_kind kind = gossip_kind::ping;
    // matches an acknowledgement to its ping
    std::uint64_t sequence = 0;
    member_update sender;
    // the member to ping, and its address for an indirect ping
    node_name subject;
    endpoint subject_address;
    // configuration version of the sender
    object_version configuration;
    std::vector<member_update> updates;
    std::vector<std::uint32_t> digest;
};

/// @brief a message and its destination
struct outgoing_gossip
{
    endpoint to;
    gossip_message message;
};

} // namespace endivehinge

#endif

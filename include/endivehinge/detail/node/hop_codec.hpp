#ifndef ENDIVEHINGE_DETAIL_NODE_HOP_CODEC_HPP
#define ENDIVEHINGE_DETAIL_NODE_HOP_CODEC_HPP

#include <optional> // optional

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/outcome.hpp>
#include <endivehinge/core/request.hpp>

namespace endivehinge::detail
{

/// @brief what the receiving node does with a request
enum class hop_role
{
    execute,   // run it on its local target
    key_owner, // as key owner, record the key and place the request
};

/// @brief a request that one node forwards to another
struct hop_request
{
    request content;
    // identifies this attempt; each retry has its own ID
    request_id try_id;
    hop_role role = hop_role::execute;
};

/// @brief encodes a request to forward to another node
[[nodiscard]] http_request encode_hop_request(hop_request const & hop,
                                              time_point now);

/// @brief decodes a request that another node forwarded
/// @param reason set to the missing or invalid header on failure
[[nodiscard]] std::optional<hop_request>
decode_hop_request(http_request message, time_point now, failure & reason);

/// @brief encodes an outcome as the response to the forwarding node
[[nodiscard]] http_response encode_hop_outcome(outcome result);

/// @brief decodes the outcome in the response of another node
[[nodiscard]] outcome decode_hop_outcome(http_response response);

} // namespace endivehinge::detail

#endif

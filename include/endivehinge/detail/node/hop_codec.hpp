#ifndef ENDIVEHINGE_DETAIL_NODE_HOP_CODEC_HPP
#define ENDIVEHINGE_DETAIL_NODE_HOP_CODEC_HPP

#include <optional> // optional

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/outcome.hpp>
#include <endivehinge/core/request.hpp>

namespace endivehinge::detail
{

/// @brief the part that the receiving node takes in a request
enum class hop_role
{
    run,       // run it on the target beside it
    key_owner, // act as the key owner: record the key, then dispatch
};

/// @brief a request between nodes
struct hop_request
{
    request content;
    // names this try; a further one has another
    request_id try_id;
    hop_role role = hop_role::run;
};

/// @brief writes a request for the hop to another node
[[nodiscard]] http_request encode_hop_request(hop_request const & hop,
                                              time_point now);

/// @brief reads a request from another node
/// @param message as it came in; moved from
/// @param reason the field that is missing or wrong
[[nodiscard]] std::optional<hop_request>
decode_hop_request(http_request message, time_point now, failure & reason);

/// @brief writes an outcome for the way back
[[nodiscard]] http_response encode_hop_outcome(outcome result);

/// @brief reads an outcome that came back
/// @param response as it came in; moved from
[[nodiscard]] outcome decode_hop_outcome(http_response response);

} // namespace endivehinge::detail

#endif

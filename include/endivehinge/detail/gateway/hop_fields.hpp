#ifndef ENDIVEHINGE_DETAIL_GATEWAY_HOP_FIELDS_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_HOP_FIELDS_HPP

#include <cstdint>  // uint64_t
#include <optional> // optional

#include <endivehinge/detail/gateway/dispatch_request.hpp>
#include <endivehinge/detail/gateway/dispatch_result.hpp>

namespace endivehinge::detail
{

/// @brief adds the fields that carry a request to another node
/// @note thread safety: any thread
void write_hop_request(dispatch_request & request, time_point now);

/// @brief reads and removes the fields that write_hop_request adds
/// @return nothing where they do not hold
[[nodiscard]] std::optional<dispatch_request>
read_hop_request(request_message message, time_point now);

/// @brief the response that carries a result to the node that sent the request
/// @param version of the configuration in force at this node
[[nodiscard]] response_message write_hop_result(dispatch_result result,
                                                std::uint64_t version);

/// @brief reads and removes the fields that write_hop_result adds
/// @param version is set to that of the other node's configuration
/// @return nothing where they do not hold
[[nodiscard]] std::optional<dispatch_result>
read_hop_result(response_message message, std::uint64_t & version);

/// @brief removes the fields of hops; a client must not set them
void remove_hop_fields(header_fields & fields);

} // namespace endivehinge::detail

#endif

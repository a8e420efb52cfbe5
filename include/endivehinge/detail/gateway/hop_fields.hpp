#ifndef ENDIVEHINGE_DETAIL_GATEWAY_HOP_FIELDS_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_HOP_FIELDS_HPP

#include <optional> // optional

#include <endivehinge/core/endpoint.hpp>
#include <endivehinge/detail/gateway/dispatch_request.hpp>
#include <endivehinge/detail/gateway/dispatch_result.hpp>
#include <endivehinge/detail/gateway/replica_versions.hpp>

namespace endivehinge::detail
{

/// @brief what the node that sends a request tells of itself
struct hop_sender
{
    // where it takes requests of other nodes
    endpoint peer;
    replica_versions versions;
    // unique to this process; its requests are named by it and a number
    std::string incarnation_id;
};

/// @brief adds the fields that carry a request to another node
/// @note thread safety: any thread
void write_hop_request(dispatch_request & request,
                       hop_sender const & sender,
                       time_point now);

/// @brief reads and removes what the sender tells of itself
/// @return nothing where it does not hold
[[nodiscard]] std::optional<hop_sender>
read_hop_sender(request_message & message);

/// @brief reads and removes the fields that write_hop_request adds
/// @return nothing where they do not hold
[[nodiscard]] std::optional<dispatch_request>
read_hop_request(request_message message, time_point now);

/// @brief the response that carries a result to the node that sent the request
/// @param versions of this node's copies of the store
[[nodiscard]] response_message
write_hop_result(dispatch_result result, replica_versions const & versions);

/// @brief reads and removes the fields that write_hop_result adds
/// @param versions are set to those of the other node's copies of the store
/// @return nothing where they do not hold
[[nodiscard]] std::optional<dispatch_result>
read_hop_result(response_message message, replica_versions & versions);

/// @brief removes the fields of hops; a client must not set them
void remove_hop_fields(header_fields & fields);

} // namespace endivehinge::detail

#endif

#ifndef ENDIVEHINGE_DETAIL_GATEWAY_HOP_FIELDS_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_HOP_FIELDS_HPP

#include <optional> // optional

#include <endivehinge/core/endpoint.hpp>
#include <endivehinge/detail/gateway/dispatch_request.hpp>
#include <endivehinge/detail/gateway/dispatch_result.hpp>
#include <endivehinge/detail/gateway/replica_versions.hpp>

namespace endivehinge::detail
{

/// @brief data that a node sends about itself with each request
struct hop_sender
{
    // address on which the node accepts requests of other nodes
    endpoint peer;
    replica_versions versions;
    // random ID of this process, which prefixes its in-flight IDs
    std::string incarnation_id;
};

/// @brief adds the field that read_hop_sender() reads
/// @note thread safety: any thread
void write_hop_sender(request_message & message, hop_sender const & sender);

/// @brief adds the header fields that describe a request to another node
/// @note thread safety: any thread
void write_hop_request(dispatch_request & request,
                       hop_sender const & sender,
                       time_point now);

/// @brief reads and removes the sender field
/// @return no value if the field is missing or invalid
[[nodiscard]] std::optional<hop_sender>
read_hop_sender(request_message & message);

/// @brief whether a head has the fields of a client's request that another node
/// passes on
/// @note thread safety: any thread
[[nodiscard]] bool has_hop_fields(header_fields const & fields);

/// @brief reads and removes the fields that write_hop_request adds
/// @return no value if the fields are missing or invalid
[[nodiscard]] std::optional<dispatch_request>
read_hop_request(request_message message, time_point now);

/// @brief makes the response that returns a result to the requesting node
/// @param versions versions of this node's replicas
[[nodiscard]] response_message
write_hop_result(dispatch_result result, replica_versions const & versions);

/// @brief reads and removes the fields that write_hop_result adds
/// @param versions set to the versions of the other node's replicas
/// @return no value if the fields are missing or invalid
[[nodiscard]] std::optional<dispatch_result>
read_hop_result(response_message message, replica_versions & versions);

/// @brief removes all hop fields, which clients must not set
void remove_hop_fields(header_fields & fields);

} // namespace endivehinge::detail

#endif

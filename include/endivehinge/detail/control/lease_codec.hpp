#ifndef ENDIVEHINGE_DETAIL_CONTROL_LEASE_CODEC_HPP
#define ENDIVEHINGE_DETAIL_CONTROL_LEASE_CODEC_HPP

#include <optional> // optional
#include <vector>   // vector

#include <coordination.pb.h> // wire::lease_request, wire::handover_request

#include <endivehinge/coordination/lease_messages.hpp>
#include <endivehinge/coordination/record_handover.hpp>
#include <endivehinge/core/failure.hpp>
#include <endivehinge/core/ids.hpp>

namespace endivehinge::detail
{

/// @brief writes a renewal
[[nodiscard]] wire::lease_request encode_renewal(service_name const & service,
                                                 lease_renewal const & source);

/// @brief reads a renewal
/// @return nothing where it only asks for the assignment
[[nodiscard]] std::optional<lease_renewal>
decode_renewal(wire::lease_request const & source);

/// @brief writes an answer to a renewal
[[nodiscard]] wire::lease_response encode_grant(lease_grant const & source);

/// @brief reads an answer to a renewal
[[nodiscard]] lease_grant decode_grant(wire::lease_response const & source);

/// @brief writes a handover as messages of a bounded size, to be sent in order
/// @param greatest_bytes the maximum size of the records in one message. A
///        stored response that is larger is omitted, and the receiver treats
///        the outcome of its request as unknown
[[nodiscard]] std::vector<wire::handover_request>
encode_handover(service_name const & service,
                record_handover const & source,
                std::size_t greatest_bytes);

/// @brief reads one message of a handover
/// @param reason the field that is missing or wrong
[[nodiscard]] std::optional<record_handover>
decode_handover(wire::handover_request const & source, failure & reason);

} // namespace endivehinge::detail

#endif

#ifndef ENDIVEHINGE_COORDINATION_IDEMPOTENCY_FINGERPRINT_HPP
#define ENDIVEHINGE_COORDINATION_IDEMPOTENCY_FINGERPRINT_HPP

#include <endivehinge/core/http_message.hpp>
#include <endivehinge/core/ids.hpp>

namespace endivehinge
{

/// @brief tells whether two requests with one key are the same request: their
///        method, path and body
/// @note pure; thread safety: any thread
[[nodiscard]] request_fingerprint
idempotency_fingerprint(http_request const & message);

} // namespace endivehinge

#endif

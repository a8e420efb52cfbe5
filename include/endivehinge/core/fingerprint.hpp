#ifndef ENDIVEHINGE_CORE_FINGERPRINT_HPP
#define ENDIVEHINGE_CORE_FINGERPRINT_HPP

#include <endivehinge/core/ids.hpp>
#include <endivehinge/core/request.hpp>

namespace endivehinge
{

/// @brief a digest of a request's service, method, path, idempotency key and
///        body; identical on every node
/// @note pure; thread safety: any thread
[[nodiscard]] request_fingerprint fingerprint_of(request const & source);

} // namespace endivehinge

#endif

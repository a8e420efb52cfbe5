#ifndef ENDIVEHINGE_DETAIL_GATEWAY_VERSION_NOTICE_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_VERSION_NOTICE_HPP

#include <endivehinge/detail/gateway/hop_fields.hpp>
#include <endivehinge/detail/gateway/http_types.hpp>

namespace endivehinge::detail::version_notice
{

/// @brief creates a message that states the versions of the sender's copies
/// @note thread safety: any thread; earlier versions take note of them as well,
/// although they reject the message
[[nodiscard]] request_message write_request(hop_sender const & sender);

/// @note thread safety: any thread
[[nodiscard]] bool is_request(request_message const & message);

} // namespace endivehinge::detail::version_notice

#endif

#ifndef ENDIVEHINGE_DETAIL_GATEWAY_MESSAGE_GRAMMAR_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_MESSAGE_GRAMMAR_HPP

#include <boost/beast/core/error.hpp> // error_code

#include <endivehinge/detail/gateway/http_types.hpp>

namespace endivehinge::detail
{

/// @brief checks what the parser accepts in the head of a response although RFC
/// 9112 forbids it
/// @return the error, or none. A status outside of 100 to 599 and a coding
/// other than `chunked` make the response unusable: its body has no known end
/// @note thread safety: any thread
[[nodiscard]] boost::beast::error_code
check_response_head(boost::beast::http::response_header<> const & head);

/// @brief checks what the parser accepts in the head of a request although RFC
/// 9112 forbids it
/// @return the error, or none; unsupported_coding() if the request has a coding
/// that is allowed, but unknown here
/// @note thread safety: any thread
[[nodiscard]] boost::beast::error_code
check_request_head(boost::beast::http::request_header<> const & head);

/// @brief the error of a request with a transfer coding that is not supported
/// @note thread safety: any thread
[[nodiscard]] boost::beast::error_code unsupported_coding();

} // namespace endivehinge::detail

#endif

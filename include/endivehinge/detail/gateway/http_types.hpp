#ifndef ENDIVEHINGE_DETAIL_GATEWAY_HTTP_TYPES_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_HTTP_TYPES_HPP

#include <string_view> // string_view

#include <boost/beast/http/fields.hpp>      // fields
#include <boost/beast/http/message.hpp>     // request, response
#include <boost/beast/http/status.hpp>      // status
#include <boost/beast/http/string_body.hpp> // string_body
#include <boost/beast/http/verb.hpp>        // verb

#include <endivehinge/detail/gateway/shared_body.hpp>

namespace endivehinge::detail
{

using header_fields = boost::beast::http::fields;
using request_message = boost::beast::http::request<shared_body>;
using request_head = boost::beast::http::request_header<>;
using response_message =
    boost::beast::http::response<boost::beast::http::string_body>;

/// @brief converts a Boost.Beast string view to a standard string view
/// @note thread safety: any thread; refers to the same characters
[[nodiscard]] inline std::string_view std_view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

/// @brief converts a standard string view to a Boost.Beast string view
/// @note thread safety: any thread; refers to the same characters
[[nodiscard]] inline boost::beast::string_view beast_view(std::string_view text)
{
    return {text.data(), text.size()};
}

/// @brief replaces a target in absolute form (`http://host/path`) by its path
/// and query, and the Host field by its authority (RFC 9112, section 3.2.2)
/// @note thread safety: none; the caller owns the message
void convert_to_origin_form(request_message & message);

/// @brief removes the hop-by-hop header fields, which apply to one connection
/// only, and the fields that the Connection field lists
/// @note thread safety: none; the caller owns the fields
void remove_connection_fields(header_fields & fields);

} // namespace endivehinge::detail

#endif

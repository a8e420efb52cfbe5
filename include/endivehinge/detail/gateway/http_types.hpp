#ifndef ENDIVEHINGE_DETAIL_GATEWAY_HTTP_TYPES_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_HTTP_TYPES_HPP

#include <string_view> // string_view

#include <boost/beast/http/fields.hpp>      // fields
#include <boost/beast/http/message.hpp>     // request, response
#include <boost/beast/http/status.hpp>      // status
#include <boost/beast/http/string_body.hpp> // string_body
#include <boost/beast/http/verb.hpp>        // verb

namespace endivehinge::detail
{

using header_fields = boost::beast::http::fields;
using request_message =
    boost::beast::http::request<boost::beast::http::string_body>;
using response_message =
    boost::beast::http::response<boost::beast::http::string_body>;

/// @brief the library's string view as the standard one
/// @note thread safety: any thread; views the same characters
[[nodiscard]] inline std::string_view std_view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

/// @brief the standard string view as the library's
/// @note thread safety: any thread; views the same characters
[[nodiscard]] inline boost::beast::string_view beast_view(std::string_view text)
{
    return {text.data(), text.size()};
}

/// @brief removes the header fields that concern one connection only
/// @note thread safety: none; the caller owns the fields
void remove_connection_fields(header_fields & fields);

} // namespace endivehinge::detail

#endif

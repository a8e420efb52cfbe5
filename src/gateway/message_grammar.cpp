#include <endivehinge/detail/gateway/message_grammar.hpp>

#include <algorithm> // count_if
#include <iterator>  // distance
#include <string>    // string
#include <vector>    // vector

#include <absl/strings/ascii.h>       // StripAsciiWhitespace
#include <absl/strings/match.h>       // EqualsIgnoreCase
#include <absl/strings/str_cat.h>     // StrAppend
#include <absl/strings/str_split.h>   // StrSplit
#include <boost/beast/http/error.hpp> // error

namespace endivehinge::detail
{

namespace http = boost::beast::http;
using boost::beast::error_code;

namespace
{

constexpr unsigned min_status = 100;
constexpr unsigned max_status = 599;
constexpr char const * chunked = "chunked";

/// @brief the transfer codings in the order in which they were applied
std::vector<std::string> transfer_codings(header_fields const & fields)
{
    std::string list;
    auto const [first, last] =
        fields.equal_range(http::field::transfer_encoding);
    for (auto field = first; field != last; ++field)
    {
        auto const value = std_view(field->value());
        absl::StrAppend(
            &list, ",", absl::string_view(value.data(), value.size()));
    }
    std::vector<std::string> codings;
    for (absl::string_view const part : absl::StrSplit(list, ','))
    {
        auto const coding = absl::StripAsciiWhitespace(part);
        if (!coding.empty())
        {
            codings.emplace_back(coding);
        }
    }
    return codings;
}

bool is_chunked(std::string const & coding)
{
    return absl::EqualsIgnoreCase(coding, chunked);
}

/// @brief whether the codings say where the body ends
bool is_delimited(std::vector<std::string> const & codings)
{
    return !codings.empty() && is_chunked(codings.back()) &&
           std::count_if(codings.begin(), codings.end(), is_chunked) == 1;
}

error_code check_codings(header_fields const & fields, unsigned version)
{
    if (fields.find(http::field::transfer_encoding) == fields.end())
    {
        return {};
    }
    bool const has_length =
        fields.find(http::field::content_length) != fields.end();
    auto const codings = transfer_codings(fields);
    if (version < 11 || has_length || !is_delimited(codings))
    {
        return http::error::bad_transfer_encoding;
    }
    return codings.size() == 1 ? error_code() : unsupported_coding();
}

} // namespace

error_code check_response_head(http::response_header<> const & head)
{
    auto const status = head.result_int();
    // no request of this program asks for another protocol
    bool const is_switch = head.result() == http::status::switching_protocols;
    if (status < min_status || status > max_status || is_switch)
    {
        return http::error::bad_status;
    }
    return check_codings(head, head.version());
}

error_code check_request_head(http::request_header<> const & head)
{
    auto const [first, last] = head.equal_range(http::field::host);
    if (std::distance(first, last) > 1)
    {
        return http::error::bad_field;
    }
    return check_codings(head, head.version());
}

error_code unsupported_coding()
{
    return make_error_code(boost::system::errc::operation_not_supported);
}

} // namespace endivehinge::detail

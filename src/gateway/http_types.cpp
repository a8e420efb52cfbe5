#include <endivehinge/detail/gateway/http_types.hpp>

#include <algorithm> // min
#include <string>    // string
#include <vector>    // vector

#include <absl/strings/match.h>         // StartsWithIgnoreCase
#include <boost/beast/http/rfc7230.hpp> // token_list

namespace endivehinge::detail
{

namespace http = boost::beast::http;

void convert_to_origin_form(request_message & message)
{
    std::string const target(message.target());
    if (!absl::StartsWithIgnoreCase(target, "http://") &&
        !absl::StartsWithIgnoreCase(target, "https://"))
    {
        return;
    }
    auto const authority = target.find("//") + 2;
    auto const path =
        std::min(target.find_first_of("/?", authority), target.size());
    message.set(http::field::host, target.substr(authority, path - authority));
    bool const has_path = path < target.size() && target[path] == '/';
    message.target((has_path ? "" : "/") + target.substr(path));
}

void remove_connection_fields(header_fields & fields)
{
    std::vector<std::string> listed_fields;
    for (auto const & field : fields)
    {
        if (field.name() == http::field::connection)
        {
            for (auto const & token : http::token_list{field.value()})
            {
                listed_fields.emplace_back(token);
            }
        }
    }
    for (auto const & name : listed_fields)
    {
        fields.erase(name);
    }
    for (auto const name : {http::field::connection,
                            http::field::keep_alive,
                            http::field::proxy_connection,
                            http::field::te,
                            http::field::trailer,
                            http::field::transfer_encoding,
                            http::field::upgrade,
                            http::field::expect})
    {
        fields.erase(name);
    }
}

} // namespace endivehinge::detail

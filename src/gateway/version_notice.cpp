#include <endivehinge/detail/gateway/version_notice.hpp>

namespace endivehinge::detail::version_notice
{

namespace http = boost::beast::http;

namespace
{

constexpr char const * path = "/endivehinge/versions";

} // namespace

request_message write_request(hop_sender const & sender)
{
    request_message message{http::verb::post, path, 11};
    write_hop_sender(message, sender);
    message.prepare_payload();
    return message;
}

bool is_request(request_message const & message)
{
    return message.method() == http::verb::post && message.target() == path;
}

} // namespace endivehinge::detail::version_notice

#include <endivehinge/detail/http/http_client.hpp>

#include <utility> // move

#include "connection_pool.hpp"

namespace endivehinge::detail
{

http_client::http_client(http_client_limits const & limits)
    : connections(std::make_shared<connection_pool>(limits))
{
    static CURLcode const initialised = curl_global_init(CURL_GLOBAL_DEFAULT);
    static_cast<void>(initialised);
}

http_client::~http_client() = default;

http_call http_client::begin(endpoint const & peer,
                             http_request const & request,
                             http_exchange_options const & options)
{
    return http_call(this->connections, peer, request, options);
}

std::optional<http_response>
http_client::exchange(endpoint const & peer,
                      http_request const & request,
                      http_exchange_options const & options,
                      http_exchange_report & report,
                      failure & reason)
{
    http_call call = this->begin(peer, request, options);
    static_cast<void>(call.wait(options.timeout + options.connect_timeout));
    auto response = call.take(reason);
    report.maybe_sent = call.was_sent();
    return response;
}

void http_client::forget(endpoint const & peer)
{
    this->connections->forget(peer);
}

} // namespace endivehinge::detail

#include "curl_transfer.hpp"

#include <algorithm> // max
#include <string>    // string

#include <absl/strings/ascii.h>   // StripAsciiWhitespace
#include <absl/strings/match.h>   // EqualsIgnoreCase, StartsWith
#include <absl/strings/str_cat.h> // StrCat

namespace endivehinge::detail
{
namespace
{

using std::chrono::milliseconds;

constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;

std::size_t
write_body(char const * data, std::size_t size, std::size_t count, void * out)
{
    auto & state = *static_cast<curl_transfer *>(out);
    std::size_t const bytes = size * count;
    if (state.response.body.size() + bytes > state.response_bound_bytes)
    {
        state.too_large = true;
        return 0;
    }
    state.response.body.append(data, bytes);
    return bytes;
}

bool says_length(absl::string_view field)
{
    return absl::EqualsIgnoreCase(field, "content-length") ||
           absl::EqualsIgnoreCase(field, "transfer-encoding");
}

std::size_t
write_header(char const * data, std::size_t size, std::size_t count, void * out)
{
    auto & state = *static_cast<curl_transfer *>(out);
    std::size_t const bytes = size * count;
    absl::string_view const line(data, bytes);
    if (absl::StartsWith(line, "HTTP/"))
    {
        // an interim response came before this one
        state.response.headers = {};
        state.has_length = false;
        return bytes;
    }
    auto const colon = line.find(':');
    if (colon != absl::string_view::npos)
    {
        state.has_length =
            state.has_length || says_length(line.substr(0, colon));
        state.response.headers.add(
            std::string(line.substr(0, colon)),
            std::string(absl::StripAsciiWhitespace(line.substr(colon + 1))));
    }
    return bytes;
}

// curl sends again by itself when a kept connection turns out to be closed;
// a request that was sent may have run, so the second send is stopped here
int before_send(void * state, char *, char *, int, int)
{
    auto & current = *static_cast<curl_transfer *>(state);
    ++current.sends;
    return current.sends == 1 ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

bool is_set_by_client(std::string const & name)
{
    return absl::EqualsIgnoreCase(name, "content-length") ||
           absl::EqualsIgnoreCase(name, "connection") ||
           absl::EqualsIgnoreCase(name, "transfer-encoding") ||
           absl::EqualsIgnoreCase(name, "host") ||
           absl::EqualsIgnoreCase(name, "expect");
}

bool needs_body(std::string const & method)
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

void set_method(CURL * easy, http_request const & request)
{
    if (request.method == "HEAD")
    {
        curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
        return;
    }
    if (!request.body.empty() || needs_body(request.method))
    {
        curl_easy_setopt(easy, CURLOPT_POST, 1L);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.data());
        curl_easy_setopt(easy,
                         CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(request.body.size()));
    }
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
}

void set_limits(CURL * easy,
                http_exchange_options const & options,
                http_client_limits const & limits)
{
    auto const timeout =
        std::chrono::duration_cast<milliseconds>(options.timeout).count();
    auto const connect =
        std::chrono::duration_cast<milliseconds>(options.connect_timeout)
            .count();
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, std::max<long>(1, timeout));
    curl_easy_setopt(
        easy, CURLOPT_CONNECTTIMEOUT_MS, std::max<long>(1, connect));
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, limits.idle_age_s);
    curl_easy_setopt(
        easy, CURLOPT_FRESH_CONNECT, options.fresh_connection ? 1L : 0L);
    curl_easy_setopt(
        easy, CURLOPT_FORBID_REUSE, options.fresh_connection ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    // proxies of the environment are none of ours
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(
        easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
}

void set_callbacks(CURL * easy, curl_transfer & state)
{
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &write_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &state);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &write_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &state);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &before_send);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &state);
}

} // namespace

header_list make_header_list(http_request const & request)
{
    curl_slist * list = curl_slist_append(nullptr, "Expect:");
    for (auto const & field : request.headers.all())
    {
        if (!is_set_by_client(field.name))
        {
            // a field without a value needs a semicolon to be sent at all
            std::string const line =
                field.value.empty()
                    ? absl::StrCat(field.name, ";")
                    : absl::StrCat(field.name, ": ", field.value);
            list = curl_slist_append(list, line.c_str());
        }
    }
    return header_list(list);
}

void prepare_transfer(CURL * easy,
                      endpoint const & peer,
                      http_request const & request,
                      http_exchange_options const & options,
                      http_client_limits const & limits,
                      curl_transfer & state)
{
    state.response_bound_bytes = limits.response_bytes;
    curl_easy_reset(easy);
    // curl copies the address
    std::string const url =
        absl::StrCat("http://", peer.to_string(), request.path);
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    // the path goes out as it came in
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    set_method(easy, request);
    set_limits(easy, options, limits);
    set_callbacks(easy, state);
}

bool is_whole(curl_transfer const & state, http_request const & request)
{
    int const status = state.response.status;
    bool const has_no_body = request.method == "HEAD" ||
                             status == status_no_content ||
                             status == status_not_modified;
    return state.has_length || has_no_body;
}

failure_id classify_transfer(CURLcode code, curl_transfer const & state)
{
    if (state.too_large)
    {
        return failure_id::message_too_large;
    }
    if (code == CURLE_OPERATION_TIMEDOUT)
    {
        return failure_id::timed_out;
    }
    if (state.sends == 0)
    {
        return failure_id::connect_failed;
    }
    return failure_id::connection_lost;
}

} // namespace endivehinge::detail

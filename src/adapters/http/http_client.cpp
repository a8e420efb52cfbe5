#include <endivehinge/detail/http/http_client.hpp>

#include <curl/curl.h>  // curl_*
#include <poll.h>       // POLLRDHUP
#include <sys/socket.h> // recv

#include <memory>  // unique_ptr
#include <string>  // string
#include <utility> // move
#include <vector>  // vector

#include <absl/container/flat_hash_map.h> // flat_hash_map
#include <absl/strings/ascii.h>           // StripAsciiWhitespace
#include <absl/strings/match.h>           // EqualsIgnoreCase, StartsWith
#include <absl/strings/str_cat.h>         // StrCat
#include <absl/synchronization/mutex.h>   // Mutex

namespace endivehinge::detail
{
namespace
{

using std::chrono::milliseconds;

constexpr int longest_wait_ms = 1000;
constexpr int hang_up_check_ms = 20;

struct multi_deleter
{
    void operator()(CURLM * handle) const
    {
        curl_multi_cleanup(handle);
    }
};

struct easy_deleter
{
    void operator()(CURL * handle) const
    {
        curl_easy_cleanup(handle);
    }
};

struct list_deleter
{
    void operator()(curl_slist * list) const
    {
        curl_slist_free_all(list);
    }
};

using multi_handle = std::unique_ptr<CURLM, multi_deleter>;
using easy_handle = std::unique_ptr<CURL, easy_deleter>;
using header_list = std::unique_ptr<curl_slist, list_deleter>;

// one exchange at a time; keeps its connection between exchanges
struct channel
{
    channel()
        : multi(curl_multi_init())
        , easy(curl_easy_init())
    {
    }

    multi_handle multi;
    easy_handle easy;
};

struct transfer
{
    http_response response;
    std::size_t bound = 0;
    int sends = 0;
    bool too_large = false;
};

std::size_t
write_body(char const * data, std::size_t size, std::size_t count, void * out)
{
    auto & state = *static_cast<transfer *>(out);
    std::size_t const bytes = size * count;
    if (state.response.body.size() + bytes > state.bound)
    {
        state.too_large = true;
        return 0;
    }
    state.response.body.append(data, bytes);
    return bytes;
}

std::size_t
write_header(char const * data, std::size_t size, std::size_t count, void * out)
{
    auto & state = *static_cast<transfer *>(out);
    std::size_t const bytes = size * count;
    absl::string_view const line(data, bytes);
    if (absl::StartsWith(line, "HTTP/"))
    {
        // an interim response came before this one
        state.response.headers = {};
        return bytes;
    }
    auto const colon = line.find(':');
    if (colon != absl::string_view::npos)
    {
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
    auto & current = *static_cast<transfer *>(state);
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

header_list make_headers(http_request const & request)
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

void set_callbacks(CURL * easy, transfer & state)
{
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &write_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &state);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &write_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &state);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &before_send);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &state);
}

bool has_hung_up(int socket)
{
    char byte = 0;
    return ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

// waits for the transfer; nothing where the watched socket hung up
std::optional<CURLcode> run(CURLM * multi, int watched_socket)
{
    int running = 1;
    curl_waitfd watched{watched_socket, CURL_WAIT_POLLIN, 0};
    bool watching = watched_socket >= 0;
    while (true)
    {
        curl_multi_perform(multi, &running);
        if (running == 0)
        {
            break;
        }
        // a caller that pipelines is readable and has not hung up: ask less
        int const wait_ms = watching ? longest_wait_ms : hang_up_check_ms;
        curl_multi_poll(multi,
                        watching ? &watched : nullptr,
                        watching ? 1U : 0U,
                        watched_socket < 0 ? longest_wait_ms : wait_ms,
                        nullptr);
        if (watched_socket >= 0 && (!watching || watched.revents != 0))
        {
            if (has_hung_up(watched_socket))
            {
                return std::nullopt;
            }
            watching = false;
        }
    }
    int queued = 0;
    CURLMsg const * const message = curl_multi_info_read(multi, &queued);
    return message == nullptr ? CURLE_FAILED_INIT : message->data.result;
}

failure_id classify(CURLcode code, transfer const & state)
{
    if (state.too_large)
    {
        return failure_id::message_too_large;
    }
    if (code == CURLE_OPERATION_TIMEDOUT)
    {
        return state.sends == 0 ? failure_id::connect_failed
                                : failure_id::timed_out;
    }
    if (state.sends == 0)
    {
        return failure_id::connect_failed;
    }
    return failure_id::connection_lost;
}

} // namespace

class http_client::pool
{
public:
    explicit pool(http_client_limits const & bounds)
        : limits(bounds)
    {
    }

    std::unique_ptr<channel> take(endpoint const & peer)
    {
        {
            absl::MutexLock lock(&this->mutex);
            auto & idle = this->idle_channels[peer];
            if (!idle.empty())
            {
                auto taken = std::move(idle.back());
                idle.pop_back();
                return taken;
            }
        }
        return std::make_unique<channel>();
    }

    void give_back(endpoint const & peer, std::unique_ptr<channel> used)
    {
        absl::MutexLock lock(&this->mutex);
        auto & idle = this->idle_channels[peer];
        if (idle.size() < this->limits.idle_connections_per_peer)
        {
            idle.push_back(std::move(used));
        }
    }

    void forget(endpoint const & peer)
    {
        std::vector<std::unique_ptr<channel>> dropped;
        absl::MutexLock lock(&this->mutex);
        if (auto const found = this->idle_channels.find(peer);
            found != this->idle_channels.end())
        {
            dropped = std::move(found->second);
            this->idle_channels.erase(found);
        }
    }

    http_client_limits const limits;

private:
    absl::Mutex mutex;
    absl::flat_hash_map<endpoint, std::vector<std::unique_ptr<channel>>>
        idle_channels;
};

http_client::http_client(http_client_limits const & limits)
    : connections(std::make_unique<pool>(limits))
{
    static CURLcode const initialised = curl_global_init(CURL_GLOBAL_DEFAULT);
    static_cast<void>(initialised);
}

http_client::~http_client() = default;

std::optional<http_response>
http_client::exchange(endpoint const & peer,
                      http_request const & request,
                      http_exchange_options const & options,
                      http_exchange_report & report,
                      failure & reason)
{
    auto used = options.fresh_connection ? std::make_unique<channel>()
                                         : this->connections->take(peer);
    CURL * const easy = used->easy.get();
    transfer state;
    state.bound = this->connections->limits.response_bytes;
    curl_easy_reset(easy);
    std::string const url =
        absl::StrCat("http://", peer.to_string(), request.path);
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    // the path goes out as it came in
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    set_method(easy, request);
    set_limits(easy, options, this->connections->limits);
    set_callbacks(easy, state);
    header_list const headers = make_headers(request);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers.get());

    curl_multi_add_handle(used->multi.get(), easy);
    auto const code = run(used->multi.get(), options.watched_socket);
    curl_multi_remove_handle(used->multi.get(), easy);

    report.maybe_sent = state.sends > 0;
    if (!code.has_value())
    {
        reason = {failure_id::cancelled,
                  "exchange",
                  peer.to_string(),
                  "the caller hung up"};
        return std::nullopt;
    }
    if (*code != CURLE_OK)
    {
        reason = {classify(*code, state),
                  "exchange",
                  peer.to_string(),
                  curl_easy_strerror(*code)};
        return std::nullopt;
    }
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    state.response.status = static_cast<int>(status);
    if (!options.fresh_connection)
    {
        this->connections->give_back(peer, std::move(used));
    }
    return std::move(state.response);
}

void http_client::forget(endpoint const & peer)
{
    this->connections->forget(peer);
}

} // namespace endivehinge::detail

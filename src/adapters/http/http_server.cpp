#include <endivehinge/detail/http/http_server.hpp>

#include <arpa/inet.h>  // inet_pton, htons
#include <microhttpd.h> // MHD_*
#include <netinet/in.h> // sockaddr_in, sockaddr_in6
#include <unistd.h>     // close

#include <cstdint> // uint64_t
#include <memory>  // make_unique
#include <string>  // string
#include <utility> // move

#include <absl/strings/match.h>         // EqualsIgnoreCase
#include <absl/strings/numbers.h>       // SimpleAtoi
#include <absl/synchronization/mutex.h> // Mutex

namespace endivehinge::detail
{
namespace
{

constexpr int status_too_large = 413;
constexpr std::size_t connection_thread_stack_bytes = std::size_t{512} * 1024;

// what is read of one request so far
struct incoming_request
{
    http_request message;
    bool counted = false;
    bool refused = false;
};

bool is_set_by_server(std::string const & name)
{
    return absl::EqualsIgnoreCase(name, MHD_HTTP_HEADER_CONTENT_LENGTH) ||
           absl::EqualsIgnoreCase(name, MHD_HTTP_HEADER_CONNECTION) ||
           absl::EqualsIgnoreCase(name, MHD_HTTP_HEADER_TRANSFER_ENCODING);
}

MHD_Result queue_response(MHD_Connection * connection,
                          http_response const & response,
                          bool close_after)
{
    MHD_Response * const raw = MHD_create_response_from_buffer(
        response.body.size(),
        const_cast<char *>(response.body.data()), // NOLINT: copied by the call
        MHD_RESPMEM_MUST_COPY);
    if (raw == nullptr)
    {
        return MHD_NO;
    }
    for (auto const & field : response.headers.all())
    {
        if (!is_set_by_server(field.name))
        {
            MHD_add_response_header(
                raw, field.name.c_str(), field.value.c_str());
        }
    }
    if (close_after)
    {
        MHD_add_response_header(raw, MHD_HTTP_HEADER_CONNECTION, "close");
    }
    MHD_Result const queued = MHD_queue_response(
        connection, static_cast<unsigned int>(response.status), raw);
    MHD_destroy_response(raw);
    return queued;
}

MHD_Result
add_header(void * target, MHD_ValueKind, char const * name, char const * value)
{
    static_cast<http_headers *>(target)->add(name,
                                             value == nullptr ? "" : value);
    return MHD_YES;
}

bool announces_too_much(MHD_Connection * connection, std::size_t bound)
{
    char const * const length = MHD_lookup_connection_value(
        connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);
    std::uint64_t announced = 0;
    return length != nullptr &&
           (!absl::SimpleAtoi(length, &announced) || announced > bound);
}

http_connection describe_connection(MHD_Connection * connection)
{
    http_connection result;
    MHD_ConnectionInfo const * const info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    if (info != nullptr)
    {
        result.socket = info->connect_fd;
    }
    return result;
}

// the library decodes the target that it hands on; this keeps the sent one
void * begin_reading(void *, char const * target, MHD_Connection *)
{
    auto * const incoming = new incoming_request;
    incoming->message.path = target;
    return incoming;
}

bool fill_address(endpoint const & address,
                  sockaddr_storage & storage,
                  bool & is_version_6)
{
    auto * const v4 = reinterpret_cast<sockaddr_in *>(&storage);
    if (inet_pton(AF_INET, address.host.c_str(), &v4->sin_addr) == 1)
    {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(address.port);
        is_version_6 = false;
        return true;
    }
    auto * const v6 = reinterpret_cast<sockaddr_in6 *>(&storage);
    if (inet_pton(AF_INET6, address.host.c_str(), &v6->sin6_addr) == 1)
    {
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(address.port);
        is_version_6 = true;
        return true;
    }
    return false;
}

} // namespace

class http_server::state
{
public:
    state(http_handler & target, http_server_limits const & bounds)
        : handler(target)
        , limits(bounds)
    {
    }

    ~state()
    {
        if (this->daemon != nullptr)
        {
            MHD_stop_daemon(this->daemon);
        }
        if (this->quiesced_socket != MHD_INVALID_SOCKET)
        {
            ::close(this->quiesced_socket);
        }
    }

    state(state const &) = delete;
    state & operator=(state const &) = delete;

    bool listen(endpoint const & address)
    {
        sockaddr_storage storage{};
        bool is_version_6 = false;
        if (!fill_address(address, storage, is_version_6))
        {
            return false;
        }
        unsigned int flags = MHD_USE_THREAD_PER_CONNECTION |
                             MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL |
                             MHD_USE_ITC;
        if (is_version_6)
        {
            flags |= MHD_USE_IPv6;
        }
        this->daemon = MHD_start_daemon(
            flags,
            address.port,
            nullptr,
            nullptr,
            &state::serve,
            this,
            MHD_OPTION_SOCK_ADDR,
            reinterpret_cast<sockaddr *>(&storage),
            MHD_OPTION_CONNECTION_LIMIT,
            static_cast<unsigned int>(this->limits.connections),
            MHD_OPTION_CONNECTION_MEMORY_LIMIT,
            this->limits.header_bytes,
            MHD_OPTION_CONNECTION_TIMEOUT,
            this->limits.idle_timeout_s,
            MHD_OPTION_THREAD_STACK_SIZE,
            connection_thread_stack_bytes,
            MHD_OPTION_URI_LOG_CALLBACK,
            &begin_reading,
            nullptr,
            MHD_OPTION_NOTIFY_COMPLETED,
            &state::finish,
            this,
            MHD_OPTION_LISTENING_ADDRESS_REUSE,
            1U,
            MHD_OPTION_END);
        return this->daemon != nullptr;
    }

    std::uint16_t port() const
    {
        MHD_DaemonInfo const * const info =
            MHD_get_daemon_info(this->daemon, MHD_DAEMON_INFO_BIND_PORT);
        return info == nullptr ? std::uint16_t{0} : info->port;
    }

    void begin_closing()
    {
        absl::MutexLock lock(&this->mutex);
        this->closing = true;
    }

    void stop_accepting()
    {
        if (this->quiesced_socket == MHD_INVALID_SOCKET)
        {
            this->quiesced_socket = MHD_quiesce_daemon(this->daemon);
        }
        // connections that still wait in the backlog are reset, not served
        if (this->quiesced_socket != MHD_INVALID_SOCKET)
        {
            ::close(this->quiesced_socket);
            this->quiesced_socket = MHD_INVALID_SOCKET;
        }
    }

    bool wait_until_idle(absl::Duration patience)
    {
        absl::MutexLock lock(&this->mutex);
        return this->mutex.AwaitWithTimeout(
            absl::Condition(this, &state::is_idle), patience);
    }

private:
    static MHD_Result serve(void * closure,
                            MHD_Connection * connection,
                            char const *,
                            char const * method,
                            char const *,
                            char const * upload,
                            std::size_t * upload_size,
                            void ** slot)
    {
        auto & self = *static_cast<state *>(closure);
        auto & incoming = *static_cast<incoming_request *>(*slot);
        if (!incoming.counted)
        {
            return self.read_head(connection, method, incoming);
        }
        if (*upload_size > 0)
        {
            std::size_t const size = *upload_size;
            *upload_size = 0;
            return self.read_body(upload, size, incoming);
        }
        if (incoming.refused)
        {
            return MHD_YES;
        }
        http_response const response = self.handler.handle(
            std::move(incoming.message), describe_connection(connection));
        return queue_response(connection, response, self.is_closing());
    }

    static void finish(void * closure,
                       MHD_Connection *,
                       void ** slot,
                       MHD_RequestTerminationCode)
    {
        auto * const incoming = static_cast<incoming_request *>(*slot);
        *slot = nullptr;
        if (incoming == nullptr)
        {
            return;
        }
        if (incoming->counted)
        {
            static_cast<state *>(closure)->end_request();
        }
        delete incoming;
    }

    MHD_Result read_head(MHD_Connection * connection,
                         char const * method,
                         incoming_request & incoming)
    {
        incoming.counted = true;
        this->begin_request();
        incoming.message.method = method;
        MHD_get_connection_values(connection,
                                  MHD_HEADER_KIND,
                                  &add_header,
                                  &incoming.message.headers);
        if (announces_too_much(connection, this->limits.body_bytes))
        {
            incoming.refused = true;
            return queue_response(connection, {status_too_large, {}, {}}, true);
        }
        return MHD_YES;
    }

    // a body over the bound ends the connection: nothing of it was run
    MHD_Result read_body(char const * upload,
                         std::size_t size,
                         incoming_request & incoming) const
    {
        if (incoming.message.body.size() + size > this->limits.body_bytes)
        {
            return MHD_NO;
        }
        incoming.message.body.append(upload, size);
        return MHD_YES;
    }

    void begin_request()
    {
        absl::MutexLock lock(&this->mutex);
        ++this->in_progress;
    }

    void end_request()
    {
        absl::MutexLock lock(&this->mutex);
        --this->in_progress;
    }

    bool is_closing()
    {
        absl::MutexLock lock(&this->mutex);
        return this->closing;
    }

    bool is_idle() const
    {
        return this->in_progress == 0;
    }

    http_handler & handler;
    http_server_limits limits;
    MHD_Daemon * daemon = nullptr;
    MHD_socket quiesced_socket = MHD_INVALID_SOCKET;
    absl::Mutex mutex;
    std::size_t in_progress = 0;
    bool closing = false;
};

std::unique_ptr<http_server>
http_server::start(endpoint const & address,
                   http_handler & handler,
                   http_server_limits const & limits,
                   failure & reason)
{
    auto initial = std::make_unique<state>(handler, limits);
    if (!initial->listen(address))
    {
        reason = {failure_id::connect_failed,
                  "listen",
                  address.to_string(),
                  "the address is not free or not of this machine"};
        return nullptr;
    }
    return std::unique_ptr<http_server>(new http_server(std::move(initial)));
}

http_server::http_server(std::unique_ptr<state> initial)
    : shared(std::move(initial))
{
}

http_server::~http_server() = default;

std::uint16_t http_server::port() const
{
    return this->shared->port();
}

void http_server::close_connections_after_answers()
{
    this->shared->begin_closing();
}

bool http_server::drain(absl::Duration patience)
{
    this->shared->begin_closing();
    this->shared->stop_accepting();
    return this->shared->wait_until_idle(patience);
}

} // namespace endivehinge::detail

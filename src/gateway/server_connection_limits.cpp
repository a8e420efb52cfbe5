#include <endivehinge/detail/gateway/server_connection.hpp>

#include <algorithm> // any_of, min

#include <boost/beast/http/error.hpp> // error

#include <endivehinge/detail/gateway/loop_time.hpp>
#include <endivehinge/detail/gateway/message_memory.hpp>

namespace endivehinge::detail
{

namespace http = boost::beast::http;

namespace
{

// Time for the client to close its side of a half-closed connection, since the
// last response was delivered or bytes arrived. Closing while unread bytes
// remain sends a reset, which can destroy the last response.
constexpr duration linger_timeout = std::chrono::seconds(1);
// in all, for a client that keeps sending; several times what the response
// needs to arrive
constexpr duration max_linger_time = std::chrono::seconds(5);
// time without progress after which a client no longer receives its response;
// several retransmissions fit into it
constexpr duration delivery_timeout = std::chrono::seconds(5);
// in all, for a client that takes its response slowly; as long as clients that
// state no time wait for it
constexpr duration max_delivery_time = std::chrono::seconds(30);
// dropped after the last request of a connection: some round trips on a link of
// 200 Mbit/s, in which the client learns that it was refused
constexpr std::size_t max_discarded_bytes = std::size_t{4} * 1024 * 1024;
// limit on the time of a whole request, relative to that of its head: 120 s by
// default, in which 64 MiB arrive on half of a link of 10 Mbit/s
constexpr int message_time_factor = 40;
// wait of a request for memory to receive it; a client that is refused then
// comes back sooner than it would be served
constexpr duration max_memory_wait = std::chrono::seconds(5);

// a request up to this size, beyond its head, is of ordinary size
constexpr std::size_t small_body_bytes = body_buffer::segment_bytes;
// the connection with its parser and its entries in tables
constexpr std::size_t connection_bytes = 4096;
// Linux keeps up to one and a half times the size that is set
constexpr std::size_t unread_bytes =
    server_connection::receive_buffer_bytes * 3 / 2;
// the client's, the dispatched, the waiting and the sent one
constexpr std::size_t head_copies = 4;
// a request in progress with its attempts, timers and entries in tables
constexpr std::size_t request_bytes = 8192;
// bytes that count as progress, in the stall time of connection_budget: of a
// large body a thirtieth of a link of 10 Mbit/s
constexpr std::size_t small_progress_bytes = 4096;
constexpr std::size_t large_progress_bytes = 65536;

void add_body(connection_use & use, std::size_t bytes)
{
    auto const small = std::min(bytes, small_body_bytes);
    use.ordinary_bytes += small;
    use.large_bytes += bytes - small;
}

} // namespace

// ---------------------------------------------------------------------------
// limits on time and on dropped bytes
// ---------------------------------------------------------------------------

void server_connection::check_timeouts(time_point now)
{
    if (this->lingering)
    {
        this->check_lingering(now);
        return;
    }
    if (this->check_write_time(now) || this->check_message_time(now))
    {
        return;
    }
    if (!this->pending_exchanges.empty() || this->paused)
    {
        return;
    }
    if (this->request_started && !this->parser->is_header_done() &&
        now - this->request_start > this->connection_limits.header_timeout)
    {
        this->reject(http::error::partial_message);
        return;
    }
    if (now - this->last_activity > this->connection_limits.idle_timeout)
    {
        this->shut_down_send();
    }
}

bool server_connection::check_write_time(time_point now)
{
    if (!this->write_pending ||
        now - this->last_progress <= this->connection_limits.idle_timeout)
    {
        return false;
    }
    this->record_limit(client_limit::write_time);
    this->close();
    return true;
}

bool server_connection::check_message_time(time_point now)
{
    if (!this->accepts_requests)
    {
        return false;
    }
    if (this->paused)
    {
        // requests in progress are answered first
        if (!this->pending_exchanges.empty() ||
            now - this->paused_since <= max_memory_wait)
        {
            return false;
        }
        this->record_limit(client_limit::memory);
        this->give_way(client_limit::memory);
        return true;
    }
    if (!this->request_started ||
        now - this->request_start <=
            message_time_factor * this->connection_limits.header_timeout)
    {
        return false;
    }
    this->record_limit(client_limit::message_time);
    this->reject(http::error::partial_message);
    return true;
}

void server_connection::check_lingering(time_point now)
{
    this->update_delivery(now);
    bool const is_delivered = this->last_undelivered == 0;
    if (now - this->last_activity >
            (is_delivered ? linger_timeout : delivery_timeout) ||
        now - this->linger_start >
            (is_delivered ? max_linger_time : max_delivery_time))
    {
        this->close();
    }
}

void server_connection::discard(std::size_t size)
{
    this->discarded_bytes += size;
    if (this->discarded_bytes <= max_discarded_bytes)
    {
        this->read();
        return;
    }
    // requests in progress are answered before the connection ends
    if (this->lingering)
    {
        this->record_limit(client_limit::discarded);
        this->close();
    }
}

// ---------------------------------------------------------------------------
// memory that is shared with other connections
// ---------------------------------------------------------------------------

bool server_connection::join(connection_registry & shared_registry,
                             listener_kind own_listener)
{
    this->id = shared_registry.add(own_listener, this->weak_from_this());
    if (!this->id)
    {
        return false;
    }
    this->registry = &shared_registry;
    this->listener = own_listener;
    this->report_use();
    return true;
}

bool server_connection::acquire_memory()
{
    bool const drops_bytes = this->lingering || !this->accepts_requests;
    if (!this->id || drops_bytes)
    {
        return true;
    }
    bool const is_large = this->request_started &&
                          this->parser->is_header_done() &&
                          this->parser->body_memory() >= small_body_bytes;
    if (this->registry->acquire(*this->id, read_buffer_bytes, is_large))
    {
        return true;
    }
    if (this->id)
    {
        this->paused = true;
        this->paused_since = loop_now();
        this->report_use();
    }
    return false;
}

void server_connection::resume_reading()
{
    if (!this->paused)
    {
        return;
    }
    auto const now = loop_now();
    this->paused = false;
    // the client did not cause the wait
    this->request_start += now - this->paused_since;
    this->last_activity = now;
    this->last_progress = now;
    this->handle_readable({});
}

void server_connection::end_pause()
{
    if (this->paused)
    {
        this->paused = false;
        this->read_pending = false;
    }
}

void server_connection::give_way(client_limit limit)
{
    if (limit == client_limit::connections || this->has_given_way ||
        !this->accepts_requests || !this->request_started ||
        this->write_pending)
    {
        this->close();
        return;
    }
    this->has_given_way = true;
    this->refuse(this->handler.overload_response());
}

void server_connection::record_progress(std::size_t bytes)
{
    this->progress_bytes += bytes;
    bool const is_large = this->request_started &&
                          this->parser->is_header_done() &&
                          this->parser->body_memory() >= small_body_bytes;
    if (this->progress_bytes >=
        (is_large ? large_progress_bytes : small_progress_bytes))
    {
        this->progress_bytes = 0;
        this->last_progress = loop_now();
    }
}

void server_connection::report_use()
{
    if (this->id)
    {
        this->registry->update(*this->id, this->current_use());
    }
}

connection_activity server_connection::activity() const
{
    if (!this->pending_exchanges.empty())
    {
        bool const is_running = std::any_of(this->pending_exchanges.begin(),
                                            this->pending_exchanges.end(),
                                            [](auto const & one)
                                            {
                                                return !one->response;
                                            });
        return is_running ? connection_activity::running
                          : connection_activity::responding;
    }
    if (this->lingering)
    {
        return connection_activity::responding;
    }
    if (this->request_started)
    {
        return connection_activity::receiving;
    }
    return this->has_served ? connection_activity::idle
                            : connection_activity::unused;
}

connection_use server_connection::current_use() const
{
    connection_use use;
    use.activity = this->activity();
    use.message_start = this->request_start;
    use.last_progress = this->last_progress;
    use.paused = this->paused;
    use.ordinary_bytes = connection_bytes + unread_bytes +
                         this->buffer.capacity() + this->head_bytes;
    if (this->request_started && this->parser->is_header_done())
    {
        add_body(use, this->parser->body_memory());
    }
    for (auto const & one : this->pending_exchanges)
    {
        if (one->response)
        {
            use.ordinary_bytes += memory_of(*one->response);
            add_body(use, one->response->body().capacity());
            continue;
        }
        use.ordinary_bytes +=
            request_bytes + head_copies * one->request_head_bytes;
        add_body(use, one->request_body_bytes);
    }
    return use;
}

void server_connection::record_limit(client_limit limit) const
{
    if (this->registry != nullptr)
    {
        this->registry->record_limit(limit, this->listener);
    }
}

} // namespace endivehinge::detail

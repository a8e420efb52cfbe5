#include <endivehinge/detail/gateway/client_connection.hpp>

#include <netinet/tcp.h> // TCP_INFO, TCP_KEEPIDLE, TCP_USER_TIMEOUT
#include <sys/socket.h>  // getsockopt, setsockopt

#include <algorithm> // min
#include <exception> // exception
#include <string>    // string
#include <utility>   // exchange, move

#include <absl/strings/ascii.h>       // StripAsciiWhitespace
#include <absl/strings/match.h>       // ConsumePrefix
#include <absl/strings/numbers.h>     // SimpleAtoi
#include <absl/strings/str_split.h>   // StrSplit
#include <absl/strings/strip.h>       // ConsumePrefix
#include <boost/beast/http/error.hpp> // error
#include <boost/beast/http/write.hpp> // async_write

#include <endivehinge/detail/gateway/deferred_exception.hpp>
#include <endivehinge/detail/gateway/loop_time.hpp>
#include <endivehinge/detail/gateway/read_buffer.hpp>

namespace endivehinge::detail
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace
{

// fits most responses in one or two reads
constexpr std::size_t read_buffer_bytes = 8192;
// idle time before the first TCP keep-alive probe and interval between probes;
// 1 s is the minimum
constexpr int keepalive_interval_s = 1;
// unanswered keep-alive probes after which the kernel closes the connection
constexpr int keepalive_probe_count = 2;
// smaller responses are not accounted for; the number of connections bounds
// their sum
constexpr std::size_t min_accounted_bytes = 16384;
// informational responses and responses to earlier requests; a server that
// sends more before the response is faulty
constexpr std::size_t max_dropped_responses = 16;
// subtracted from the server's keep-alive timeout, so that a request arrives
// before the server closes the connection
constexpr duration keep_alive_margin = std::chrono::milliseconds(1000);

// of a response that keeps arriving; several times what the longest object of
// the store takes on a link of 10 Mbit/s
constexpr duration max_transfer_time = std::chrono::seconds(10);

} // namespace

client_connection::client_connection(asio::io_context & loop,
                                     tcp::endpoint remote,
                                     upstream_options const & options)
    : server_endpoint(std::move(remote))
    , connection_options(options)
    , socket(loop)
    , timer(loop)
    , idle_timeout(options.idle_timeout)
    , idle_since(loop_now())
{
    this->is_counted = options.counter != nullptr;
}

void client_connection::send(request_message message,
                             call_options const & options,
                             result_handler done)
{
    this->request = std::move(message);
    this->request_options = options;
    this->completion_handler = std::move(done);
    this->request_active = true;
    this->send_started = false;
    this->send_completed = false;
    this->response_started = false;
    this->dropped_responses = 0;
    if (this->established)
    {
        this->arm_timer(options.deadline);
        this->write();
        return;
    }
    this->arm_timer(
        std::min(options.deadline, loop_now() + options.connect_timeout));
    this->connect();
}

void client_connection::cancel()
{
    this->completion_handler = nullptr;
    this->request_active = false;
    this->close();
    this->release_request();
}

void client_connection::close_after_response()
{
    this->is_last_call = true;
}

bool client_connection::is_idle() const
{
    return !this->request_active && !this->closed;
}

bool client_connection::is_closed() const
{
    return this->closed;
}

bool client_connection::can_identify(call_options const & options,
                                     time_point now) const
{
    return this->matcher.can_identify(options, now);
}

bool client_connection::is_expired(time_point now) const
{
    return now - this->idle_since > this->idle_timeout;
}

void client_connection::connect()
{
    this->socket.async_connect(
        this->server_endpoint,
        [self = this->shared_from_this()](boost::system::error_code error)
        {
            self->handle_connect(error);
        });
}

void client_connection::handle_connect(boost::system::error_code error)
{
    if (this->closed || !this->request_active)
    {
        return;
    }
    if (error)
    {
        this->connection_refused = error == asio::error::connection_refused;
        this->fail(call_status::not_sent, "connect: " + error.message());
        return;
    }
    if (loop_now() >= this->request_options.deadline)
    {
        this->fail(call_status::not_sent, "connect: timed out");
        return;
    }
    this->established = true;
    this->configure_socket();
    this->start_parser();
    this->arm_timer(this->request_options.deadline);
    this->write();
    this->read();
}

void client_connection::configure_socket()
{
    boost::system::error_code ignored; // affects latency only
    this->socket.set_option(tcp::no_delay(true), ignored);
    this->socket.set_option(asio::socket_base::keep_alive(true), ignored);
    this->socket.non_blocking(true, ignored);
    int const native_socket = this->socket.native_handle();
    auto const set_tcp_option = [native_socket](int option, int value)
    {
        ::setsockopt(native_socket, IPPROTO_TCP, option, &value, sizeof value);
    };
    set_tcp_option(TCP_KEEPIDLE, keepalive_interval_s);
    set_tcp_option(TCP_KEEPINTVL, keepalive_interval_s);
    set_tcp_option(TCP_KEEPCNT, keepalive_probe_count);
    set_tcp_option(TCP_USER_TIMEOUT,
                   static_cast<int>(to_milliseconds(
                       this->connection_options.unacknowledged_timeout)));
}

void client_connection::write()
{
    this->send_started = true;
    this->request_sent = loop_now();
    this->start_parser();
    this->write_pending = true;
    http::async_write(this->socket,
                      this->request,
                      [self = this->shared_from_this()](
                          boost::system::error_code error, std::size_t)
                      {
                          // a response may still arrive; the pending read
                          // reports the connection failure
                          self->send_failed = static_cast<bool>(error);
                          self->send_completed = !error;
                          self->write_pending = false;
                          if (!self->request_active)
                          {
                              self->release_request();
                          }
                      });
}

void client_connection::read()
{
    if (this->read_pending || this->closed)
    {
        return;
    }
    this->read_pending = true;
    release_if_empty(this->buffer);
    this->socket.async_wait(
        tcp::socket::wait_read,
        [self = this->shared_from_this()](boost::system::error_code error)
        {
            self->handle_readable(error);
        });
}

void client_connection::handle_readable(boost::system::error_code error)
{
    std::size_t size = 0;
    if (!error && !this->closed)
    {
        size = this->socket.read_some(this->buffer.prepare(read_buffer_bytes),
                                      error);
    }
    if (error == asio::error::would_block)
    {
        this->read_pending = false;
        this->read();
        return;
    }
    this->handle_read(error, size);
}

void client_connection::handle_read(boost::system::error_code error,
                                    std::size_t size)
{
    this->read_pending = false;
    if (this->closed)
    {
        return;
    }
    if (!error)
    {
        this->handle_bytes(size);
        return;
    }
    if (error == asio::error::eof && this->request_active &&
        this->response_started && this->parser->is_header_done() &&
        this->parser->needs_eof() && this->is_ended_in_order())
    {
        // a response without a length extends to the end of the connection
        boost::system::error_code parse_error;
        this->parser->put_eof(parse_error);
        if (!parse_error && this->parser->is_done())
        {
            this->handle_response();
            return;
        }
    }
    this->fail(this->send_started ? call_status::connection_lost
                                  : call_status::not_sent,
               "read: " + error.message());
}

void client_connection::handle_bytes(std::size_t size)
{
    try
    {
        this->buffer.commit(size);
        static_cast<void>(this->extend_deadline());
        this->parse();
    }
    catch (std::exception const & error)
    {
        rethrow_from_loop(this->socket.get_executor());
        this->fail(call_status::connection_lost,
                   std::string("exception: ") + error.what());
    }
}

void client_connection::parse()
{
    while (!this->closed && this->buffer.size() > 0)
    {
        if (!this->request_active)
        {
            // unsolicited bytes
            this->close();
            return;
        }
        if (!this->response_started)
        {
            this->response_started = true;
            this->response_start = loop_now();
        }
        boost::system::error_code error;
        this->parser->put(this->buffer, error);
        if (!this->record_memory())
        {
            return;
        }
        if (error == http::error::need_more)
        {
            break;
        }
        if (error)
        {
            this->fail(call_status::connection_lost,
                       "parse: " + error.message());
            return;
        }
        // afterwards the loop continues with the response of another request,
        // if the handler sent one or this response was dropped
        this->handle_response();
    }
    this->read();
}

bool client_connection::record_memory()
{
    auto * const responses = this->connection_options.responses;
    auto const bytes = this->parser->body_memory() + this->buffer.capacity();
    if (responses == nullptr || bytes < min_accounted_bytes)
    {
        return true;
    }
    if (!this->memory_id)
    {
        this->memory_id = responses->add(
            [weak = this->weak_from_this()]
            {
                if (auto const self = weak.lock())
                {
                    self->release_memory();
                    self->fail(call_status::connection_lost,
                               "response too large for the memory left");
                }
            });
    }
    responses->resize(*this->memory_id, bytes);
    return !this->closed;
}

void client_connection::release_memory()
{
    if (this->memory_id)
    {
        this->connection_options.responses->remove(*this->memory_id);
        this->memory_id.reset();
    }
}

void client_connection::start_parser()
{
    this->parser.emplace(
        message_limits{this->connection_options.max_header_bytes,
                       this->request_options.max_response_bytes.value_or(
                           this->connection_options.max_response_bytes)});
    if (this->request.method() == http::verb::head)
    {
        this->parser->skip_body();
    }
}

void client_connection::handle_response()
{
    bool const keep_alive = this->parser->keep_alive();
    response_message message = this->parser->release();
    this->start_parser();
    if (!this->matcher.accept(this->request_options, message, loop_now()))
    {
        this->dropped_responses += 1;
        if (!keep_alive || this->dropped_responses > max_dropped_responses)
        {
            this->fail(call_status::connection_lost,
                       "response of another request");
        }
        return;
    }
    this->update_idle_timeout(message);
    call_result result;
    result.status = call_status::answered;
    result.response_started = true;
    result.response = std::move(message);
    result.sent = this->request_sent;
    result.received = loop_now();
    result.transfer = result.received - this->response_start;
    // the connection cannot be reused if the request is not completely sent or
    // if unsolicited bytes follow the response
    if (!keep_alive || this->is_last_call || !this->send_completed ||
        this->buffer.size() > 0 || !this->matcher.is_reusable())
    {
        this->close();
    }
    this->finish(std::move(result));
}

void client_connection::update_idle_timeout(response_message const & message)
{
    auto const field = std_view(message[http::field::keep_alive]);
    for (absl::string_view part :
         absl::StrSplit(absl::string_view(field.data(), field.size()), ','))
    {
        part = absl::StripAsciiWhitespace(part);
        int seconds = 0;
        if (absl::ConsumePrefix(&part, "timeout=") &&
            absl::SimpleAtoi(part, &seconds))
        {
            this->idle_timeout = std::min<duration>(
                this->connection_options.idle_timeout,
                std::chrono::seconds(seconds) - keep_alive_margin);
        }
    }
}

void client_connection::arm_timer(time_point expiry)
{
    this->timer.expires_at(std::chrono::steady_clock::time_point(expiry));
    this->timer.async_wait(
        [weak = this->weak_from_this()](boost::system::error_code error)
        {
            auto const self = weak.lock();
            if (!error && self)
            {
                self->handle_timeout();
            }
        });
}

bool client_connection::extend_deadline()
{
    auto const limit = this->request_options.progress_limit;
    if (!this->request_active || limit == duration(0))
    {
        return false;
    }
    auto const now = loop_now();
    auto const extended =
        std::min(now + limit,
                 (this->response_started ? this->response_start : now) +
                     max_transfer_time);
    if (extended <= this->request_options.deadline)
    {
        return false;
    }
    this->request_options.deadline = extended;
    this->arm_timer(extended);
    return true;
}

bool client_connection::has_unread_bytes()
{
    boost::system::error_code ignored; // nothing is available then
    return this->socket.available(ignored) > 0;
}

bool client_connection::is_ended_in_order()
{
    // the system reports a reset once only, to a write as well as to a read
    tcp_info state{};
    socklen_t size = sizeof state;
    bool const is_known = ::getsockopt(this->socket.native_handle(),
                                       IPPROTO_TCP,
                                       TCP_INFO,
                                       &state,
                                       &size) == 0;
    bool const is_reset = is_known && state.tcpi_state == TCP_CLOSE;
    return !this->send_failed && !is_reset;
}

void client_connection::handle_timeout()
{
    // the handler of a wait that expired before the timer was armed again can
    // no longer be cancelled
    bool const rearmed =
        std::chrono::steady_clock::now() < this->timer.expiry();
    if (!this->request_active || this->closed || rearmed)
    {
        return;
    }
    if (!this->established)
    {
        this->fail(call_status::not_sent, "connect: timed out");
        return;
    }
    if (this->has_unread_bytes() && this->extend_deadline())
    {
        // this process was busy; the bytes have arrived
        return;
    }
    this->fail(call_status::timed_out,
               this->response_started ? "response not complete in time"
                                      : "no response in time");
}

void client_connection::fail(call_status status, std::string detail)
{
    this->close();
    call_result result;
    result.status = status;
    result.response_started = this->response_started;
    result.connection_refused = this->connection_refused;
    result.detail = std::move(detail);
    this->finish(std::move(result));
}

void client_connection::finish(call_result result)
{
    this->release_memory();
    this->request_active = false;
    this->idle_since = loop_now();
    if (!this->closed)
    {
        this->timer.cancel();
    }
    this->release_request();
    if (auto const done = std::exchange(this->completion_handler, nullptr))
    {
        done(std::move(result));
    }
}

void client_connection::release_request()
{
    if (!this->write_pending)
    {
        // assigning an empty message would keep the memory
        request_message const sent = std::move(this->request);
    }
}

void client_connection::leave_counter()
{
    if (std::exchange(this->is_counted, false))
    {
        this->connection_options.counter->remove();
    }
}

void client_connection::close()
{
    this->closed = true;
    this->leave_counter();
    this->release_memory();
    boost::system::error_code ignored; // the socket may be closed already
    this->socket.close(ignored);
    this->timer.cancel();
}

} // namespace endivehinge::detail

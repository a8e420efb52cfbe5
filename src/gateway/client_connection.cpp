#include <endivehinge/detail/gateway/client_connection.hpp>

#include <netinet/tcp.h> // TCP_USER_TIMEOUT, TCP_KEEPIDLE
#include <sys/socket.h>  // setsockopt

#include <algorithm> // min
#include <string>    // string
#include <utility>   // exchange, move

#include <absl/strings/ascii.h>       // StripAsciiWhitespace
#include <absl/strings/match.h>       // ConsumePrefix
#include <absl/strings/numbers.h>     // SimpleAtoi
#include <absl/strings/str_split.h>   // StrSplit
#include <absl/strings/strip.h>       // ConsumePrefix
#include <boost/beast/http/error.hpp> // error
#include <boost/beast/http/write.hpp> // async_write

#include <endivehinge/detail/gateway/loop_time.hpp>

namespace endivehinge::detail
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace
{

// one read of the socket; most responses take one or two
constexpr std::size_t read_size = 8192;
// seconds before the kernel probes a connection on which nothing moves, and
// between probes; the smallest that TCP allows
constexpr int probe_seconds = 1;
// unanswered probes that end a connection
constexpr int probe_count = 2;
// leaves time for a request to arrive before the server closes
constexpr duration keep_alive_margin = std::chrono::milliseconds(1000);

} // namespace

client_connection::client_connection(asio::io_context & loop,
                                     tcp::endpoint remote,
                                     upstream_options const & chosen)
    : peer(std::move(remote))
    , bounds(chosen)
    , socket(loop)
    , timer(loop)
    , idle_limit(chosen.idle_timeout)
    , idle_since(loop_now())
{
}

void client_connection::send(request_message message,
                             call_options const & options,
                             result_handler done)
{
    this->request = std::move(message);
    this->limits = options;
    this->handler = std::move(done);
    this->in_use = true;
    this->sent_some = false;
    this->sent_all = false;
    this->received_some = false;
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
    this->handler = nullptr;
    this->in_use = false;
    this->close();
}

bool client_connection::is_idle() const
{
    return !this->in_use && !this->closed;
}

bool client_connection::is_closed() const
{
    return this->closed;
}

bool client_connection::is_expired(time_point at) const
{
    return at - this->idle_since > this->idle_limit;
}

void client_connection::connect()
{
    this->socket.async_connect(
        this->peer,
        [self = this->shared_from_this()](boost::system::error_code error)
        {
            self->connected(error);
        });
}

void client_connection::connected(boost::system::error_code error)
{
    if (this->closed || !this->in_use)
    {
        return;
    }
    if (error)
    {
        this->fail(call_status::not_sent, "connect: " + error.message());
        return;
    }
    this->established = true;
    this->configure_socket();
    this->start_parser();
    this->arm_timer(this->limits.deadline);
    this->write();
    this->read();
}

void client_connection::configure_socket()
{
    boost::system::error_code ignored; // latency only, not correctness
    this->socket.set_option(tcp::no_delay(true), ignored);
    this->socket.set_option(asio::socket_base::keep_alive(true), ignored);
    int const handle = this->socket.native_handle();
    auto const set = [handle](int option, int value)
    {
        ::setsockopt(handle, IPPROTO_TCP, option, &value, sizeof value);
    };
    set(TCP_KEEPIDLE, probe_seconds);
    set(TCP_KEEPINTVL, probe_seconds);
    set(TCP_KEEPCNT, probe_count);
    set(TCP_USER_TIMEOUT,
        static_cast<int>(to_milliseconds(this->bounds.unacknowledged_timeout)));
}

void client_connection::write()
{
    this->sent_some = true;
    this->parser->skip(this->request.method() == http::verb::head);
    http::async_write(this->socket,
                      this->request,
                      [self = this->shared_from_this()](
                          boost::system::error_code error, std::size_t)
                      {
                          if (error)
                          {
                              // a response may still be on its way: the read
                              // reports the end of the connection
                              return;
                          }
                          self->sent_all = true;
                      });
}

void client_connection::read()
{
    if (this->reading || this->closed)
    {
        return;
    }
    this->reading = true;
    this->socket.async_read_some(
        this->buffer.prepare(read_size),
        [self = this->shared_from_this()](boost::system::error_code error,
                                          std::size_t size)
        {
            self->received(error, size);
        });
}

void client_connection::received(boost::system::error_code error,
                                 std::size_t size)
{
    this->reading = false;
    if (this->closed)
    {
        return;
    }
    if (!error)
    {
        this->buffer.commit(size);
        this->parse();
        return;
    }
    if (error == asio::error::eof && this->in_use && this->received_some &&
        this->parser->is_header_done() &&
        !this->parser->content_length().has_value() && !this->parser->chunked())
    {
        // the end of the connection ends a response that has no length
        boost::system::error_code parse_error;
        this->parser->put_eof(parse_error);
        if (!parse_error && this->parser->is_done())
        {
            this->accept_response();
            return;
        }
    }
    this->fail(this->sent_some ? call_status::lost : call_status::not_sent,
               "read: " + error.message());
}

void client_connection::parse()
{
    while (!this->closed && this->buffer.size() > 0)
    {
        if (!this->in_use)
        {
            // bytes that belong to no request
            this->close();
            return;
        }
        this->received_some = true;
        boost::system::error_code error;
        std::size_t const taken = this->parser->put(this->buffer.data(), error);
        this->buffer.consume(taken);
        if (error == http::error::need_more)
        {
            break;
        }
        if (error)
        {
            this->fail(call_status::lost, "parse: " + error.message());
            return;
        }
        if (this->parser->is_done())
        {
            this->accept_response();
            if (this->in_use)
            {
                // the handler sent the next request, or a response of an
                // earlier one was dropped
                continue;
            }
        }
        else if (taken == 0)
        {
            break;
        }
    }
    this->read();
}

void client_connection::start_parser()
{
    this->parser.emplace();
    this->parser->eager(true);
    this->parser->body_limit(this->bounds.response_bytes);
}

void client_connection::accept_response()
{
    bool const keep = this->parser->keep_alive();
    response_message message = this->parser->release();
    this->start_parser();
    this->parser->skip(this->request.method() == http::verb::head);
    bool const informational = http::to_status_class(message.result()) ==
                               http::status_class::informational;
    if (informational || !this->belongs_to_call(message))
    {
        if (!keep)
        {
            this->fail(call_status::lost, "response of another request");
        }
        return;
    }
    this->note_keep_alive(message);
    call_result result;
    result.status = call_status::answered;
    result.began = true;
    result.response = std::move(message);
    // a response before the end of the request leaves bytes to be sent, and
    // bytes behind a response belong to no request
    if (!keep || !this->sent_all || this->buffer.size() > 0)
    {
        this->close();
    }
    this->finish(std::move(result));
}

bool client_connection::belongs_to_call(response_message const & message) const
{
    if (this->limits.id_field.empty())
    {
        return true;
    }
    auto const found = message.find(this->limits.id_field);
    return found == message.end() || found->value() == this->limits.id_value;
}

void client_connection::note_keep_alive(response_message const & message)
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
            this->idle_limit = std::min<duration>(
                this->bounds.idle_timeout,
                std::chrono::seconds(seconds) - keep_alive_margin);
        }
    }
}

void client_connection::arm_timer(time_point at)
{
    this->timer.expires_at(std::chrono::steady_clock::time_point(at));
    this->timer.async_wait(
        [weak = this->weak_from_this()](boost::system::error_code error)
        {
            auto const self = weak.lock();
            if (!error && self)
            {
                self->expired();
            }
        });
}

void client_connection::expired()
{
    if (!this->in_use || this->closed)
    {
        return;
    }
    if (!this->established)
    {
        this->fail(call_status::not_sent, "connect: timed out");
        return;
    }
    this->fail(call_status::timed_out, "no response in time");
}

void client_connection::fail(call_status status, std::string detail)
{
    this->close();
    call_result result;
    result.status = status;
    result.began = this->received_some;
    result.detail = std::move(detail);
    this->finish(std::move(result));
}

void client_connection::finish(call_result result)
{
    this->in_use = false;
    this->idle_since = loop_now();
    if (!this->closed)
    {
        this->timer.cancel();
    }
    if (auto const done = std::exchange(this->handler, nullptr))
    {
        done(std::move(result));
    }
}

void client_connection::close()
{
    this->closed = true;
    boost::system::error_code ignored; // the peer may have closed already
    this->socket.close(ignored);
    this->timer.cancel();
}

} // namespace endivehinge::detail

#include <endivehinge/detail/gateway/server_connection.hpp>

#include <algorithm> // max, min
#include <exception> // exception
#include <utility>   // exchange, move

#include <linux/sockios.h> // SIOCOUTQ
#include <poll.h>          // poll
#include <sys/ioctl.h>     // ioctl

#include <boost/asio/buffer.hpp>      // buffer
#include <boost/asio/error.hpp>       // eof
#include <boost/asio/write.hpp>       // async_write
#include <boost/beast/http/error.hpp> // error
#include <boost/beast/http/write.hpp> // async_write

#include <endivehinge/detail/gateway/deferred_exception.hpp>
#include <endivehinge/detail/gateway/loop_time.hpp>
#include <endivehinge/detail/gateway/message_memory.hpp>
#include <endivehinge/detail/gateway/read_buffer.hpp>

namespace endivehinge::detail
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

// A client that has sent a request or opened a connection within this time may
// be about to send one. It spans many round trips, so that after it everything
// has arrived that a client sent before it saw the end of its connection.
constexpr duration recent_use_time = std::chrono::milliseconds(200);
// RFC 9112, section 2.2: at least one empty line ahead of a request is ignored
constexpr std::size_t max_empty_lines = 8;
// a request whose client has left is cancelled within this time and a round
// trip
constexpr duration reset_check_interval = std::chrono::milliseconds(50);

response_message empty_response(http::status status)
{
    response_message response{status, 11};
    response.keep_alive(false);
    response.prepare_payload();
    return response;
}

} // namespace

server_connection::server_connection(asio::ip::tcp::socket accepted,
                                     request_handler & incoming_handler,
                                     server_limits const & limits,
                                     bool const & draining_flag)
    : socket(std::move(accepted))
    , handler(incoming_handler)
    , connection_limits(limits)
    , draining(draining_flag)
    , last_activity(loop_now())
    , last_progress(last_activity)
{
}

void server_connection::start()
{
    boost::system::error_code ignored; // affects latency only
    this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    this->socket.non_blocking(true, ignored);
    this->start_parser();
    this->read();
}

void server_connection::close()
{
    this->accepts_requests = false;
    if (auto const closed = std::exchange(this->id, std::nullopt))
    {
        this->registry->remove(*closed);
    }
    // the listener keeps the object for a while
    this->release_received();
    boost::system::error_code ignored; // the socket may be closed already
    this->socket.close(ignored);
    auto const cancelled = std::exchange(this->pending_exchanges, {});
    for (auto const & request : cancelled)
    {
        request->cancel();
    }
}

void server_connection::update_delivery(time_point now)
{
    auto const undelivered = this->undelivered_bytes();
    if (undelivered != this->last_undelivered)
    {
        this->last_undelivered = undelivered;
        this->last_activity = now;
    }
}

void server_connection::drain(time_point now)
{
    if (this->is_idle() && now - this->last_activity > recent_use_time)
    {
        this->finish();
    }
}

void server_connection::finish()
{
    if (this->is_idle() && !this->lingering)
    {
        this->shut_down_send();
    }
}

void server_connection::review_stop()
{
    auto const reviewed = this->pending_exchanges;
    for (auto const & request : reviewed)
    {
        request->review_stop();
    }
}

void server_connection::refuse_partial_request()
{
    if (this->accepts_requests && this->request_started)
    {
        this->reject(http::error::partial_message);
    }
}

bool server_connection::is_open() const
{
    return this->socket.is_open();
}

bool server_connection::is_finished(time_point now)
{
    if (!this->socket.is_open())
    {
        return true;
    }
    if (!this->lingering)
    {
        return false;
    }
    this->update_delivery(now);
    return this->last_undelivered == 0 &&
           now - this->last_activity > recent_use_time;
}

std::size_t server_connection::pending_count() const
{
    return this->pending_exchanges.size();
}

bool server_connection::is_idle() const
{
    boost::system::error_code ignored; // nothing is available then
    return this->pending_exchanges.empty() && !this->request_started &&
           !this->write_pending && this->socket.available(ignored) == 0;
}

std::size_t server_connection::undelivered_bytes()
{
    int bytes = 0;
    bool const is_known =
        ::ioctl(this->socket.native_handle(), SIOCOUTQ, &bytes) == 0;
    return is_known && bytes > 0 ? static_cast<std::size_t>(bytes) : 0;
}

void server_connection::release_received()
{
    this->start_parser();
    this->buffer.clear();
    this->buffer.shrink_to_fit();
}

void server_connection::start_parser()
{
    this->parser.emplace(message_limits{this->connection_limits.header_bytes,
                                        this->connection_limits.body_bytes});
    this->request_started = false;
    this->continue_sent = false;
    this->head_checked = false;
    this->head_bytes = 0;
    this->max_body_bytes = this->connection_limits.body_bytes;
}

void server_connection::read()
{
    if (this->read_pending || this->half_closed || !this->socket.is_open())
    {
        return;
    }
    this->read_pending = true;
    release_if_empty(this->buffer);
    this->socket.async_wait(
        asio::ip::tcp::socket::wait_read,
        [self = this->shared_from_this()](boost::system::error_code error)
        {
            self->handle_readable(error);
        });
}

void server_connection::handle_readable(boost::system::error_code error)
{
    std::size_t size = 0;
    if (!error && !this->acquire_memory())
    {
        return;
    }
    if (!error)
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

void server_connection::handle_read(boost::system::error_code error,
                                    std::size_t size)
{
    this->read_pending = false;
    if (error == asio::error::eof &&
        this->connection_limits.accepts_half_close &&
        !this->pending_exchanges.empty())
    {
        this->handle_end_of_requests();
        return;
    }
    if (error)
    {
        this->close();
        return;
    }
    this->last_activity = loop_now();
    if (!this->accepts_requests)
    {
        this->discard(size);
        return;
    }
    this->buffer.commit(size);
    this->record_progress(size);
    this->parse_received();
}

void server_connection::parse_received()
{
    try
    {
        this->parse();
    }
    catch (std::exception const &)
    {
        rethrow_from_loop(this->socket.get_executor());
        this->close();
    }
    this->report_use();
}

bool server_connection::skip_empty_lines()
{
    auto const * const bytes =
        static_cast<char const *>(this->buffer.data().data());
    if (bytes[0] != '\r' || this->empty_lines >= max_empty_lines)
    {
        return false;
    }
    if (this->buffer.size() == 1)
    {
        return true;
    }
    if (bytes[1] != '\n')
    {
        return false;
    }
    this->empty_lines += 1;
    this->buffer.consume(2);
    return this->buffer.size() == 0 || this->skip_empty_lines();
}

void server_connection::handle_end_of_requests()
{
    this->half_closed = true;
    this->accepts_requests = false;
    this->request_started = false;
    auto const & front = *this->pending_exchanges.front();
    if (front.request.version() < 11)
    {
        // an interim response cannot tell whether this client has left
        this->close();
        return;
    }
    if (!this->write_pending)
    {
        // a client that has closed its connection answers with a reset
        this->write_continue();
    }
    this->watch_for_reset();
}

void server_connection::watch_for_reset()
{
    if (this->lingering)
    {
        // ends with check_lingering(), after its responses are delivered
        return;
    }
    pollfd state{this->socket.native_handle(), 0, 0};
    if (::poll(&state, 1, 0) > 0)
    {
        this->close();
        return;
    }
    if (!this->reset_timer)
    {
        this->reset_timer.emplace(this->socket.get_executor());
    }
    this->reset_timer->expires_after(reset_check_interval);
    this->reset_timer->async_wait(
        [self = this->shared_from_this()](boost::system::error_code error)
        {
            if (!error && self->socket.is_open())
            {
                self->watch_for_reset();
            }
        });
}

void server_connection::parse()
{
    while (this->accepts_requests && this->buffer.size() > 0)
    {
        bool const is_memory_short =
            this->registry != nullptr && this->registry->is_short();
        if (this->pending_exchanges.size() >=
            (is_memory_short ? 1
                             : this->connection_limits.max_pipelined_requests))
        {
            return;
        }
        if (!this->request_started && this->skip_empty_lines())
        {
            break;
        }
        if (!this->request_started)
        {
            this->empty_lines = 0;
            this->request_started = true;
            this->request_start = loop_now();
        }
        boost::system::error_code error;
        this->parser->put(this->buffer, error);
        if (error == http::error::need_more)
        {
            if (this->refuse_by_head())
            {
                return;
            }
            break;
        }
        if (error)
        {
            this->reject(error);
            return;
        }
        this->handle_request();
    }
    this->send_continue();
    this->read();
}

bool server_connection::refuse_by_head()
{
    if (!this->parser->is_header_done())
    {
        return false;
    }
    if (!this->head_checked)
    {
        this->head_checked = true;
        auto const & head = this->parser->header();
        this->head_bytes = memory_of(head);
        auto const verdict = this->handler.check_head(head);
        if (verdict.refusal)
        {
            this->refuse(empty_response(*verdict.refusal));
            return true;
        }
        this->max_body_bytes =
            std::min(this->max_body_bytes, verdict.max_body_bytes);
    }
    if (std::max(this->parser->stated_body_bytes(),
                 this->parser->body_bytes()) > this->max_body_bytes)
    {
        this->reject(http::error::body_limit);
        return true;
    }
    return false;
}

void server_connection::handle_request()
{
    bool const keep_alive = this->parser->keep_alive();
    auto const head_memory = memory_of(this->parser->header());
    auto const body_memory = this->parser->body_memory();
    auto message = this->parser->release();
    convert_to_origin_form(message);
    auto const incoming = std::make_shared<exchange>(
        this->weak_from_this(), std::move(message), loop_now());
    incoming->keep_alive = keep_alive;
    incoming->request_head_bytes = head_memory;
    incoming->request_body_bytes = body_memory;
    this->has_served = true;
    this->accepts_requests = keep_alive;
    this->start_parser();
    this->pending_exchanges.push_back(incoming);
    try
    {
        this->handler.handle(incoming);
    }
    catch (std::exception const &)
    {
        rethrow_from_loop(this->socket.get_executor());
        incoming->respond(empty_response(http::status::internal_server_error));
    }
}

void server_connection::send_continue()
{
    if (!this->request_started || this->continue_sent ||
        !this->pending_exchanges.empty() || !this->parser->is_header_done() ||
        this->parser->header()[http::field::expect].empty())
    {
        return;
    }
    this->continue_sent = true;
    this->write_continue();
}

void server_connection::write_continue()
{
    static std::string const continue_response =
        "HTTP/1.1 100 Continue\r\n\r\n";
    asio::async_write(this->socket,
                      asio::buffer(continue_response),
                      [self = this->shared_from_this()](
                          boost::system::error_code error, std::size_t)
                      {
                          if (error)
                          {
                              self->close();
                          }
                      });
}

void server_connection::reject(boost::system::error_code error)
{
    auto status = http::status::bad_request;
    if (error == http::error::header_limit)
    {
        status = http::status::request_header_fields_too_large;
    }
    else if (error == http::error::body_limit)
    {
        status = http::status::payload_too_large;
    }
    else if (error == http::error::partial_message)
    {
        status = http::status::request_timeout;
    }
    else if (error == unsupported_coding())
    {
        status = http::status::not_implemented;
    }
    this->refuse(empty_response(status));
}

void server_connection::refuse(response_message response)
{
    this->accepts_requests = false;
    this->release_received();
    response.keep_alive(false);
    response.prepare_payload();
    auto const rejected = std::make_shared<exchange>(
        this->weak_from_this(), request_message{}, loop_now());
    rejected->keep_alive = false;
    this->pending_exchanges.push_back(rejected);
    rejected->respond(std::move(response));
    this->end_pause();
    this->read();
    this->report_use();
}

void server_connection::write()
{
    this->report_use();
    if (this->write_pending || this->pending_exchanges.empty() ||
        !this->pending_exchanges.front()->response || !this->socket.is_open())
    {
        return;
    }
    this->write_pending = true;
    this->progress_bytes = 0;
    this->last_progress = loop_now();
    auto const front = this->pending_exchanges.front();
    // requests behind this one may be running already
    bool const is_last = (this->draining || this->half_closed) &&
                         this->pending_exchanges.size() == 1;
    bool const keep_alive =
        front->keep_alive && !is_last && front->response->keep_alive();
    front->keep_alive = keep_alive;
    if (!keep_alive || this->draining)
    {
        this->accepts_requests = false;
    }
    front->response->version(11);
    front->response->keep_alive(keep_alive);
    this->response_writer.emplace(*front->response);
    this->write_some(front);
}

void server_connection::write_some(std::shared_ptr<exchange> const & front)
{
    // the response is part of the exchange
    http::async_write_some(
        this->socket,
        *this->response_writer,
        [self = this->shared_from_this(),
         front](boost::system::error_code error, std::size_t size)
        {
            self->record_progress(size);
            if (!error && !self->response_writer->is_done())
            {
                self->write_some(front);
                return;
            }
            self->handle_write(error);
        });
}

void server_connection::handle_write(boost::system::error_code error)
{
    this->write_pending = false;
    this->last_activity = loop_now();
    if (error || this->pending_exchanges.empty())
    {
        this->close();
        return;
    }
    bool const keep_alive = this->pending_exchanges.front()->keep_alive;
    this->pending_exchanges.pop_front();
    if (!keep_alive || (this->half_closed && this->pending_exchanges.empty()))
    {
        this->shut_down_send();
        return;
    }
    this->write();
    if (this->half_closed && !this->write_pending)
    {
        this->write_continue();
    }
    this->report_use();
    if (!this->read_pending)
    {
        this->parse_received();
    }
}

void server_connection::shut_down_send()
{
    // pipelined requests after a response that closes the connection are
    // dropped
    auto const cancelled = std::exchange(this->pending_exchanges, {});
    for (auto const & request : cancelled)
    {
        request->cancel();
    }
    this->accepts_requests = false;
    this->lingering = true;
    this->linger_start = loop_now();
    this->start_parser();
    this->end_pause();
    boost::system::error_code error;
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
    if (error)
    {
        this->close();
        return;
    }
    this->report_use();
    this->read();
}

} // namespace endivehinge::detail

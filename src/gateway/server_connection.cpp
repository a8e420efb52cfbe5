#include <endivehinge/detail/gateway/server_connection.hpp>

#include <utility> // move

#include <boost/asio/buffer.hpp>      // buffer
#include <boost/asio/error.hpp>       // eof
#include <boost/asio/write.hpp>       // async_write
#include <boost/beast/http/error.hpp> // error
#include <boost/beast/http/write.hpp> // async_write

#include <endivehinge/detail/gateway/loop_time.hpp>

namespace endivehinge::detail
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

// one read of the socket; most requests fit
constexpr std::size_t read_size = 4096;
// how long a half-closed connection may take to close; saves the last response
// from a reset by unread bytes
constexpr duration linger_time = std::chrono::seconds(1);

response_message plain_response(http::status status)
{
    response_message answer{status, 11};
    answer.keep_alive(false);
    answer.prepare_payload();
    return answer;
}

} // namespace

server_connection::server_connection(asio::ip::tcp::socket accepted,
                                     request_handler & receiver,
                                     server_limits const & limits,
                                     bool const & closing)
    : socket(std::move(accepted))
    , handler(receiver)
    , bounds(limits)
    , stopping(closing)
    , last_activity(loop_now())
{
}

void server_connection::start()
{
    boost::system::error_code ignored; // latency only, not correctness
    this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    this->start_parser();
    this->read();
}

void server_connection::close()
{
    this->accepting = false;
    boost::system::error_code ignored; // the peer may have closed already
    this->socket.close(ignored);
    auto const left = std::exchange(this->pending, {});
    for (auto const & one : left)
    {
        one->cancel();
    }
}

void server_connection::check_timeouts(time_point at)
{
    if (this->lingering)
    {
        if (at - this->last_activity > linger_time)
        {
            this->close();
        }
        return;
    }
    if (!this->pending.empty())
    {
        return;
    }
    if (this->parsing && !this->parser->is_header_done() &&
        at - this->request_began > this->bounds.header_timeout)
    {
        this->reject(http::error::partial_message);
        return;
    }
    if (at - this->last_activity > this->bounds.idle_timeout)
    {
        this->close();
    }
}

bool server_connection::is_open() const
{
    return this->socket.is_open();
}

std::size_t server_connection::pending_count() const
{
    return this->pending.size();
}

bool server_connection::is_idle() const
{
    return this->pending.empty() && !this->parsing && !this->writing;
}

void server_connection::start_parser()
{
    this->parser.emplace();
    this->parser->eager(true);
    this->parser->header_limit(this->bounds.header_bytes);
    this->parser->body_limit(this->bounds.body_bytes);
    this->parsing = false;
    this->continued = false;
}

void server_connection::read()
{
    if (this->reading || !this->socket.is_open())
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

void server_connection::received(boost::system::error_code error,
                                 std::size_t size)
{
    this->reading = false;
    if (error)
    {
        this->close();
        return;
    }
    this->last_activity = loop_now();
    if (!this->accepting)
    {
        // discards what follows the last request of this connection
        this->read();
        return;
    }
    this->buffer.commit(size);
    this->parse();
}

void server_connection::parse()
{
    while (this->accepting && this->buffer.size() > 0)
    {
        if (this->pending.size() >= this->bounds.pipelined)
        {
            return;
        }
        if (!this->parsing)
        {
            this->parsing = true;
            this->request_began = loop_now();
        }
        boost::system::error_code error;
        std::size_t const used = this->parser->put(this->buffer.data(), error);
        this->buffer.consume(used);
        if (error == http::error::need_more)
        {
            break;
        }
        if (error)
        {
            this->reject(error);
            return;
        }
        if (this->parser->is_done())
        {
            this->accept_request();
        }
        else if (used == 0)
        {
            break;
        }
    }
    this->answer_continue();
    this->read();
}

void server_connection::accept_request()
{
    bool const keep = this->parser->keep_alive();
    auto const incoming = std::make_shared<exchange>(
        this->weak_from_this(), this->parser->release(), loop_now());
    incoming->keep_alive = keep;
    this->accepting = keep;
    this->start_parser();
    this->pending.push_back(incoming);
    this->handler.handle(incoming);
}

void server_connection::answer_continue()
{
    if (!this->parsing || this->continued || !this->pending.empty() ||
        !this->parser->is_header_done() ||
        this->parser->get()[http::field::expect].empty())
    {
        return;
    }
    this->continued = true;
    static std::string const line = "HTTP/1.1 100 Continue\r\n\r\n";
    asio::async_write(this->socket,
                      asio::buffer(line),
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
    this->accepting = false;
    auto const refused = std::make_shared<exchange>(
        this->weak_from_this(), request_message{}, loop_now());
    refused->keep_alive = false;
    this->pending.push_back(refused);
    refused->respond(plain_response(status));
    this->read();
}

void server_connection::write()
{
    if (this->writing || this->pending.empty() ||
        !this->pending.front()->response || !this->socket.is_open())
    {
        return;
    }
    this->writing = true;
    auto const first = this->pending.front();
    bool const keep =
        first->keep_alive && !this->stopping && first->response->keep_alive();
    first->keep_alive = keep;
    if (!keep)
    {
        this->accepting = false;
    }
    first->response->version(11);
    first->response->keep_alive(keep);
    http::async_write(this->socket,
                      *first->response,
                      [self = this->shared_from_this(),
                       first](boost::system::error_code error, std::size_t)
                      {
                          self->written(error);
                      });
}

void server_connection::written(boost::system::error_code error)
{
    this->writing = false;
    this->last_activity = loop_now();
    if (error || this->pending.empty())
    {
        this->close();
        return;
    }
    bool const keep = this->pending.front()->keep_alive;
    this->pending.pop_front();
    if (!keep)
    {
        this->finish_sending();
        return;
    }
    this->write();
    if (!this->reading)
    {
        this->parse();
    }
}

void server_connection::finish_sending()
{
    // requests behind a response that closes count as not read
    auto const left = std::exchange(this->pending, {});
    for (auto const & one : left)
    {
        one->cancel();
    }
    this->lingering = true;
    boost::system::error_code error;
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
    if (error)
    {
        this->close();
        return;
    }
    this->read();
}

} // namespace endivehinge::detail

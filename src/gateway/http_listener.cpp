#include <endivehinge/detail/gateway/http_listener.hpp>

#include <algorithm> // count_if, remove_if

#include <boost/asio/ip/address.hpp> // make_address

#include <endivehinge/detail/gateway/loop_time.hpp>

namespace endivehinge::detail
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

// granularity of the idle and header timeouts, which are in the range of
// seconds
constexpr duration timeout_check_interval = std::chrono::milliseconds(500);
// delay after a failed accept, for example without free file descriptors
constexpr duration accept_retry_delay = std::chrono::milliseconds(100);

} // namespace

http_listener::http_listener(asio::io_context & loop,
                             request_handler & incoming_handler)
    : io(loop)
    , handler(incoming_handler)
    , acceptor(loop)
    , check_timer(loop)
{
}

http_listener::http_listener(asio::io_context & loop,
                             request_handler & incoming_handler,
                             connection_registry & shared_registry,
                             listener_kind own_kind)
    : http_listener(loop, incoming_handler)
{
    this->registry = &shared_registry;
    this->kind = own_kind;
}

bool http_listener::open(endpoint const & address, failure & reason)
{
    boost::system::error_code error;
    auto const ip = asio::ip::make_address(address.host, error);
    if (!error)
    {
        tcp::endpoint const local(ip, address.port);
        this->acceptor.open(local.protocol(), error);
        if (!error)
        {
            this->acceptor.set_option(tcp::acceptor::reuse_address(true),
                                      error);
            if (this->registry != nullptr)
            {
                // accepted sockets inherit it; without it the system decides
                boost::system::error_code ignored;
                this->acceptor.set_option(
                    asio::socket_base::receive_buffer_size(
                        server_connection::receive_buffer_bytes),
                    ignored);
            }
            this->acceptor.bind(local, error);
        }
        if (!error)
        {
            this->acceptor.listen(tcp::acceptor::max_listen_connections, error);
        }
    }
    if (error)
    {
        reason = {failure_id::connect_failed,
                  "listen",
                  address.to_string(),
                  error.message()};
        return false;
    }
    this->accept();
    this->check_connections();
    return true;
}

void http_listener::set_limits(server_limits const & limits)
{
    this->connection_limits = limits;
}

template <typename Function>
void http_listener::for_each_connection(Function call) const
{
    for (auto const & connection : this->connections)
    {
        call(*connection);
    }
}

void http_listener::drain()
{
    this->draining = true;
    this->for_each_connection(
        [now = loop_now()](auto & connection)
        {
            connection.drain(now);
        });
}

void http_listener::review_stop()
{
    this->for_each_connection(
        [](auto & connection)
        {
            connection.review_stop();
        });
}

void http_listener::refuse_partial_requests()
{
    this->for_each_connection(
        [](auto & connection)
        {
            connection.refuse_partial_request();
        });
}

void http_listener::finish()
{
    this->draining = true;
    this->close();
    this->for_each_connection(
        [](auto & connection)
        {
            connection.finish();
        });
}

void http_listener::close()
{
    boost::system::error_code ignored; // closing an acceptor twice is harmless
    this->acceptor.close(ignored);
}

void http_listener::abort()
{
    this->close();
    this->for_each_connection(
        [](auto & connection)
        {
            connection.close();
        });
}

std::size_t http_listener::pending_count() const
{
    std::size_t sum = 0;
    this->for_each_connection(
        [&sum](auto const & connection)
        {
            sum += connection.pending_count();
        });
    return sum;
}

std::size_t http_listener::unfinished_count() const
{
    auto const now = loop_now();
    return static_cast<std::size_t>(
        std::count_if(this->connections.begin(),
                      this->connections.end(),
                      [now](auto const & connection)
                      {
                          return !connection->is_finished(now);
                      }));
}

std::uint16_t http_listener::port() const
{
    return this->acceptor.local_endpoint().port();
}

void http_listener::accept()
{
    this->acceptor.async_accept(
        [this](boost::system::error_code error, tcp::socket socket)
        {
            if (error == asio::error::operation_aborted)
            {
                return;
            }
            if (error)
            {
                auto const retry_timer =
                    std::make_shared<asio::steady_timer>(this->io);
                retry_timer->expires_after(accept_retry_delay);
                retry_timer->async_wait(
                    [this, retry_timer](boost::system::error_code)
                    {
                        this->accept();
                    });
                return;
            }
            // first, so that an exception does not end the listener
            this->accept();
            this->add_connection(std::move(socket));
        });
}

void http_listener::add_connection(tcp::socket socket)
{
    if (this->registry == nullptr &&
        this->connections.size() >= this->connection_limits.max_connections)
    {
        return;
    }
    auto const connection =
        std::make_shared<server_connection>(std::move(socket),
                                            this->handler,
                                            this->connection_limits,
                                            this->draining);
    if (this->registry != nullptr &&
        !connection->join(*this->registry, this->kind))
    {
        return;
    }
    this->connections.push_back(connection);
    connection->start();
}

void http_listener::check_connections()
{
    this->check_timer.expires_after(timeout_check_interval);
    this->check_timer.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
            {
                this->check_connections();
            }
        });
    auto const now = loop_now();
    this->for_each_connection(
        [now](auto & connection)
        {
            if (connection.is_open())
            {
                connection.check_timeouts(now);
            }
        });
    if (this->registry != nullptr)
    {
        this->registry->review();
    }
    auto const closed = std::remove_if(this->connections.begin(),
                                       this->connections.end(),
                                       [](auto const & connection)
                                       {
                                           return !connection->is_open();
                                       });
    this->connections.erase(closed, this->connections.end());
}

} // namespace endivehinge::detail

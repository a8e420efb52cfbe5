#include <endivehinge/detail/gateway/http_listener.hpp>

#include <algorithm> // remove_if

#include <boost/asio/ip/address.hpp> // make_address

#include <endivehinge/detail/gateway/loop_time.hpp>

namespace endivehinge::detail
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

// resolution of the idle and header timeouts, which are seconds
constexpr duration sweep_interval = std::chrono::milliseconds(500);
// before accepting again when descriptors have run out
constexpr duration accept_pause = std::chrono::milliseconds(100);

} // namespace

http_listener::http_listener(asio::io_context & loop,
                             request_handler & receiver)
    : io(loop)
    , handler(receiver)
    , acceptor(loop)
    , timer(loop)
{
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
    this->sweep();
    return true;
}

void http_listener::set_limits(server_limits const & limits)
{
    this->bounds = limits;
}

void http_listener::drain()
{
    this->draining = true;
    for (auto const & weak : this->connections)
    {
        if (auto const one = weak.lock(); one && one->is_idle())
        {
            one->close();
        }
    }
}

void http_listener::close()
{
    boost::system::error_code ignored; // closing an acceptor twice is harmless
    this->acceptor.close(ignored);
}

std::size_t http_listener::pending_count() const
{
    std::size_t sum = 0;
    for (auto const & weak : this->connections)
    {
        if (auto const one = weak.lock())
        {
            sum += one->pending_count();
        }
    }
    return sum;
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
                auto const pause =
                    std::make_shared<asio::steady_timer>(this->io);
                pause->expires_after(accept_pause);
                pause->async_wait(
                    [this, pause](boost::system::error_code)
                    {
                        this->accept();
                    });
                return;
            }
            if (this->connections.size() < this->bounds.connections)
            {
                auto const one =
                    std::make_shared<server_connection>(std::move(socket),
                                                        this->handler,
                                                        this->bounds,
                                                        this->draining);
                this->connections.push_back(one);
                one->start();
            }
            this->accept();
        });
}

void http_listener::sweep()
{
    auto const at = loop_now();
    for (auto const & weak : this->connections)
    {
        if (auto const one = weak.lock(); one && one->is_open())
        {
            one->check_timeouts(at);
        }
    }
    auto const gone = std::remove_if(this->connections.begin(),
                                     this->connections.end(),
                                     [](auto const & weak)
                                     {
                                         auto const one = weak.lock();
                                         return !one || !one->is_open();
                                     });
    this->connections.erase(gone, this->connections.end());
    this->timer.expires_after(sweep_interval);
    this->timer.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
            {
                this->sweep();
            }
        });
}

} // namespace endivehinge::detail

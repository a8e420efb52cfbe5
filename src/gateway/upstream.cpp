#include <endivehinge/detail/gateway/upstream.hpp>

#include <algorithm> // find_if, remove_if, rotate

#include <boost/asio/ip/address.hpp> // make_address

#include <endivehinge/detail/gateway/loop_time.hpp>

namespace endivehinge::detail
{

upstream::upstream(boost::asio::io_context & loop,
                   endpoint const & address,
                   upstream_options const & options)
    : io(loop)
    , remote(boost::asio::ip::make_address(address.host), address.port)
    , connection_options(options)
{
}

std::shared_ptr<client_connection>
upstream::send(request_message message,
               call_options const & options,
               bool force_new,
               client_connection::result_handler done)
{
    auto connection = this->acquire(options, force_new);
    if (connection)
    {
        connection->send(std::move(message), options, std::move(done));
    }
    return connection;
}

void upstream::close_idle()
{
    for (auto const & connection : this->connections)
    {
        if (connection->is_idle())
        {
            connection->cancel();
        }
    }
    this->remove_closed();
}

void upstream::set_remote(endpoint const & address)
{
    this->close_idle();
    for (auto const & connection : this->connections)
    {
        connection->close_after_response();
    }
    this->remote = {boost::asio::ip::make_address(address.host), address.port};
}

std::uint64_t upstream::opened_count() const
{
    return this->opened_connections;
}

std::shared_ptr<client_connection>
upstream::acquire(call_options const & options, bool force_new)
{
    auto const now = loop_now();
    for (auto const & connection : this->connections)
    {
        if (connection->is_idle() && connection->is_expired(now))
        {
            connection->cancel();
        }
    }
    this->remove_closed();
    if (!force_new)
    {
        auto const found =
            std::find_if(this->connections.rbegin(),
                         this->connections.rend(),
                         [&options, now](auto const & connection)
                         {
                             return connection->is_idle() &&
                                    connection->can_identify(options, now);
                         });
        if (found != this->connections.rend())
        {
            // the most recently used connection is kept at the back
            std::rotate(this->connections.rbegin(), found, found + 1);
            return this->connections.back();
        }
    }
    if (this->connections.size() >= this->connection_options.max_connections &&
        !this->close_one_idle())
    {
        return nullptr;
    }
    auto * const counter = this->connection_options.counter;
    if (counter != nullptr && !counter->try_add())
    {
        if (!this->close_one_idle() || !counter->try_add())
        {
            return nullptr;
        }
    }
    this->opened_connections += 1;
    this->connections.push_back(std::make_shared<client_connection>(
        this->io, this->remote, this->connection_options));
    return this->connections.back();
}

bool upstream::close_one_idle()
{
    auto const found = std::find_if(this->connections.begin(),
                                    this->connections.end(),
                                    [](auto const & connection)
                                    {
                                        return connection->is_idle();
                                    });
    if (found == this->connections.end())
    {
        return false;
    }
    (*found)->cancel();
    this->connections.erase(found);
    return true;
}

void upstream::remove_closed()
{
    auto const closed = std::remove_if(this->connections.begin(),
                                       this->connections.end(),
                                       [](auto const & connection)
                                       {
                                           return connection->is_closed();
                                       });
    this->connections.erase(closed, this->connections.end());
}

} // namespace endivehinge::detail

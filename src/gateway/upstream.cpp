#include <endivehinge/detail/gateway/upstream.hpp>

#include <algorithm> // find_if, remove_if, rotate

#include <boost/asio/ip/address.hpp> // make_address

#include <endivehinge/detail/gateway/loop_time.hpp>

namespace endivehinge::detail
{

upstream::upstream(boost::asio::io_context & loop,
                   endpoint const & address,
                   upstream_options const & chosen)
    : io(loop)
    , remote(boost::asio::ip::make_address(address.host), address.port)
    , bounds(chosen)
{
}

std::shared_ptr<client_connection>
upstream::send(request_message message,
               call_options const & options,
               bool fresh,
               client_connection::result_handler done)
{
    auto connection = this->take(fresh);
    if (connection)
    {
        connection->send(std::move(message), options, std::move(done));
    }
    return connection;
}

void upstream::close_idle()
{
    for (auto const & one : this->connections)
    {
        if (one->is_idle())
        {
            one->cancel();
        }
    }
    this->remove_closed();
}

std::uint64_t upstream::opened_count() const
{
    return this->opened;
}

std::shared_ptr<client_connection> upstream::take(bool fresh)
{
    auto const now = loop_now();
    for (auto const & one : this->connections)
    {
        if (one->is_idle() && one->is_expired(now))
        {
            one->cancel();
        }
    }
    this->remove_closed();
    if (!fresh)
    {
        auto const found = std::find_if(this->connections.rbegin(),
                                        this->connections.rend(),
                                        [](auto const & one)
                                        {
                                            return one->is_idle();
                                        });
        if (found != this->connections.rend())
        {
            // the last place is that of the connection used last
            std::rotate(this->connections.rbegin(), found, found + 1);
            return this->connections.back();
        }
    }
    if (this->connections.size() >= this->bounds.connections)
    {
        return nullptr;
    }
    this->opened += 1;
    this->connections.push_back(std::make_shared<client_connection>(
        this->io, this->remote, this->bounds));
    return this->connections.back();
}

void upstream::remove_closed()
{
    auto const gone = std::remove_if(this->connections.begin(),
                                     this->connections.end(),
                                     [](auto const & one)
                                     {
                                         return one->is_closed();
                                     });
    this->connections.erase(gone, this->connections.end());
}

} // namespace endivehinge::detail

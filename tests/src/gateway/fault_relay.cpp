#include "fault_relay.hpp"

#include <algorithm> // remove_if
#include <array>     // array
#include <string>    // string
#include <utility>   // exchange, move

#include <boost/asio/steady_timer.hpp> // steady_timer
#include <boost/asio/write.hpp>        // async_write

namespace endivehinge::tests
{

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace
{

constexpr std::size_t chunk_bytes = 16384;

tcp::endpoint to_asio(endpoint const & address)
{
    return {boost::asio::ip::make_address(address.host), address.port};
}

} // namespace

/// @brief a relayed connection: one socket to the client, one to the server
class fault_relay::connection : public std::enable_shared_from_this<connection>
{
public:
    connection(boost::asio::io_context & loop,
               tcp::socket accepted,
               std::shared_ptr<relay_faults const> shared_faults)
        : client(std::move(accepted))
        , server(loop)
        , faults(std::move(shared_faults))
        , to_server(loop)
        , to_client(loop)
    {
    }

    void start(tcp::endpoint const & server_address)
    {
        this->server.async_connect(
            server_address,
            [self = this->shared_from_this()](error_code error)
            {
                if (error)
                {
                    self->reset();
                    return;
                }
                self->read(self->to_server);
                self->read(self->to_client);
            });
    }

    void reset()
    {
        for (auto * const socket : {&this->client, &this->server})
        {
            error_code ignored; // the socket may be closed already
            socket->set_option(boost::asio::socket_base::linger(true, 0),
                               ignored);
            socket->close(ignored);
        }
    }

private:
    struct direction_state
    {
        explicit direction_state(boost::asio::io_context & loop)
            : timer(loop)
        {
        }

        boost::asio::steady_timer timer;
        std::array<char, chunk_bytes> bytes{};
        std::string text;
    };

    void read(direction_state & direction)
    {
        auto & source =
            &direction == &this->to_server ? this->client : this->server;
        source.async_read_some(boost::asio::buffer(direction.bytes),
                               [self = this->shared_from_this(),
                                &direction](error_code error, std::size_t size)
                               {
                                   if (error)
                                   {
                                       self->finish_direction(direction);
                                       return;
                                   }
                                   self->forward(direction, size);
                               });
    }

    void forward(direction_state & direction, std::size_t size)
    {
        bool const is_to_server = &direction == &this->to_server;
        if (is_to_server ? this->faults->drop_to_server
                         : this->faults->drop_to_client)
        {
            this->read(direction);
            return;
        }
        direction.text.assign(direction.bytes.data(), size);
        if (!is_to_server && this->faults->rewrite_to_client)
        {
            direction.text =
                this->faults->rewrite_to_client(std::move(direction.text));
        }
        direction.timer.expires_after(is_to_server
                                          ? this->faults->delay_to_server
                                          : this->faults->delay_to_client);
        direction.timer.async_wait(
            [self = this->shared_from_this(), &direction, is_to_server](
                error_code)
            {
                auto & sink = is_to_server ? self->server : self->client;
                boost::asio::async_write(
                    sink,
                    boost::asio::buffer(direction.text),
                    [self, &direction](error_code error, std::size_t)
                    {
                        error ? self->reset() : self->read(direction);
                    });
            });
    }

    // forwards the end of stream; resets both sockets after the second one
    void finish_direction(direction_state const & direction)
    {
        auto & sink =
            &direction == &this->to_server ? this->server : this->client;
        error_code ignored; // the socket may be closed already
        sink.shutdown(tcp::socket::shutdown_send, ignored);
        this->finished_directions += 1;
        if (this->finished_directions == 2)
        {
            this->reset();
        }
    }

    tcp::socket client;
    tcp::socket server;
    std::shared_ptr<relay_faults const> faults;
    direction_state to_server;
    direction_state to_client;
    int finished_directions = 0;
};

fault_relay::fault_relay(boost::asio::io_context & loop,
                         endpoint const & listen_address,
                         endpoint const & server_address)
    : io(loop)
    , server(to_asio(server_address))
    , acceptor(loop, to_asio(listen_address))
    , faults(std::make_shared<relay_faults>())
{
    this->accept();
}

endpoint fault_relay::address() const
{
    auto const local = this->acceptor.local_endpoint();
    return {local.address().to_string(), local.port()};
}

void fault_relay::set_faults(relay_faults const & new_faults)
{
    *this->faults = new_faults;
}

void fault_relay::reset_connections()
{
    for (auto const & weak_connection : std::exchange(this->connections, {}))
    {
        if (auto const existing = weak_connection.lock())
        {
            existing->reset();
        }
    }
}

void fault_relay::accept()
{
    this->acceptor.async_accept(
        [this](error_code error, tcp::socket accepted)
        {
            if (error)
            {
                return;
            }
            auto const new_connection = std::make_shared<connection>(
                this->io, std::move(accepted), this->faults);
            this->connections.erase(
                std::remove_if(this->connections.begin(),
                               this->connections.end(),
                               [](auto const & existing)
                               {
                                   return existing.expired();
                               }),
                this->connections.end());
            this->connections.push_back(new_connection);
            this->accept();
            if (this->faults->reset_new_connections)
            {
                new_connection->reset();
                return;
            }
            new_connection->start(this->server);
        });
}

} // namespace endivehinge::tests

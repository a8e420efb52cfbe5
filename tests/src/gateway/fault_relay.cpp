#include "fault_relay.hpp"

#include <algorithm> // remove_if
#include <array>     // array
#include <utility>   // exchange, move

#include <boost/asio/steady_timer.hpp> // steady_timer
#include <boost/asio/write.hpp>        // async_write

namespace endivehinge::tests
{

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace
{

constexpr std::size_t chunk_size = 16384;

tcp::endpoint to_asio(endpoint const & address)
{
    return {boost::asio::ip::make_address(address.host), address.port};
}

} // namespace

/// @brief one relayed connection
class fault_relay::link : public std::enable_shared_from_this<link>
{
public:
    link(boost::asio::io_context & loop,
         tcp::socket accepted,
         std::shared_ptr<relay_faults const> shared)
        : client(std::move(accepted))
        , server(loop)
        , faults(std::move(shared))
        , there(loop)
        , back(loop)
    {
    }

    void start(tcp::endpoint const & to)
    {
        this->server.async_connect(
            to,
            [self = this->shared_from_this()](error_code error)
            {
                if (error)
                {
                    self->reset();
                    return;
                }
                self->read(self->there);
                self->read(self->back);
            });
    }

    void reset()
    {
        for (auto * const one : {&this->client, &this->server})
        {
            error_code ignored; // it may be closed already
            one->set_option(boost::asio::socket_base::linger(true, 0), ignored);
            one->close(ignored);
        }
    }

private:
    struct way
    {
        explicit way(boost::asio::io_context & loop)
            : timer(loop)
        {
        }

        boost::asio::steady_timer timer;
        std::array<char, chunk_size> bytes{};
    };

    void read(way & one)
    {
        auto & source = &one == &this->there ? this->client : this->server;
        source.async_read_some(boost::asio::buffer(one.bytes),
                               [self = this->shared_from_this(),
                                &one](error_code error, std::size_t size)
                               {
                                   if (error)
                                   {
                                       self->finish(one);
                                       return;
                                   }
                                   self->pass(one, size);
                               });
    }

    void pass(way & one, std::size_t size)
    {
        bool const forth = &one == &this->there;
        if (forth ? this->faults->drop_to_server : this->faults->drop_to_client)
        {
            this->read(one);
            return;
        }
        one.timer.expires_after(forth ? this->faults->delay_to_server
                                      : this->faults->delay_to_client);
        one.timer.async_wait(
            [self = this->shared_from_this(), &one, forth, size](error_code)
            {
                auto & sink = forth ? self->server : self->client;
                boost::asio::async_write(
                    sink,
                    boost::asio::buffer(one.bytes.data(), size),
                    [self, &one](error_code error, std::size_t)
                    {
                        error ? self->reset() : self->read(one);
                    });
            });
    }

    // passes on that one side has ended
    void finish(way const & one)
    {
        auto & sink = &one == &this->there ? this->server : this->client;
        error_code ignored; // it may be closed already
        sink.shutdown(tcp::socket::shutdown_send, ignored);
        this->ended += 1;
        if (this->ended == 2)
        {
            this->reset();
        }
    }

    tcp::socket client;
    tcp::socket server;
    std::shared_ptr<relay_faults const> faults;
    way there;
    way back;
    int ended = 0;
};

fault_relay::fault_relay(boost::asio::io_context & loop,
                         endpoint const & from,
                         endpoint const & to)
    : io(loop)
    , server(to_asio(to))
    , acceptor(loop, to_asio(from))
    , faults(std::make_shared<relay_faults>())
{
    this->accept();
}

endpoint fault_relay::address() const
{
    auto const local = this->acceptor.local_endpoint();
    return {local.address().to_string(), local.port()};
}

void fault_relay::set_faults(relay_faults const & chosen)
{
    *this->faults = chosen;
}

void fault_relay::reset_connections()
{
    for (auto const & one : std::exchange(this->links, {}))
    {
        if (auto const open = one.lock())
        {
            open->reset();
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
            auto const one = std::make_shared<link>(
                this->io, std::move(accepted), this->faults);
            this->links.erase(std::remove_if(this->links.begin(),
                                             this->links.end(),
                                             [](auto const & old)
                                             {
                                                 return old.expired();
                                             }),
                              this->links.end());
            this->links.push_back(one);
            one->start(this->server);
            this->accept();
        });
}

} // namespace endivehinge::tests

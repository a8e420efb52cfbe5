#include "endless_server.hpp"

#include <utility> // move

#include <boost/asio/buffer.hpp>     // buffer
#include <boost/asio/ip/address.hpp> // make_address
#include <boost/asio/write.hpp>      // async_write

namespace endivehinge::tests
{

namespace asio = boost::asio;
using asio::ip::tcp;

endless_server::endless_server(asio::io_context & loop,
                               endpoint const & address,
                               std::string beginning,
                               std::string repeated)
    : acceptor(
          loop,
          tcp::endpoint(asio::ip::make_address(address.host), address.port))
    , first_text(std::move(beginning))
    , repeated_text(std::move(repeated))
{
    this->accept();
}

std::size_t endless_server::open_connections() const
{
    return this->open;
}

void endless_server::accept()
{
    this->acceptor.async_accept(
        [this](boost::system::error_code error, tcp::socket socket)
        {
            if (error)
            {
                return;
            }
            this->open += 1;
            auto const client = std::make_shared<connection>(std::move(socket));
            client->socket.async_read_some(
                asio::buffer(client->received),
                [this, client](boost::system::error_code read_error,
                               std::size_t)
                {
                    if (read_error)
                    {
                        this->open -= 1;
                        return;
                    }
                    this->send(client, this->first_text);
                });
            this->accept();
        });
}

void endless_server::send(std::shared_ptr<connection> const & client,
                          std::string const & text)
{
    asio::async_write(
        client->socket,
        asio::buffer(text),
        [this, client](boost::system::error_code error, std::size_t)
        {
            if (error)
            {
                this->open -= 1;
                return;
            }
            this->send(client, this->repeated_text);
        });
}

} // namespace endivehinge::tests

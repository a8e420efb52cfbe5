#include "raw_target.hpp"

#include <array>   // array
#include <utility> // move

#include <absl/strings/match.h>        // StartsWith
#include <absl/strings/str_cat.h>      // StrCat
#include <absl/strings/str_replace.h>  // StrReplaceAll
#include <boost/asio/buffer.hpp>       // buffer
#include <boost/asio/ip/address.hpp>   // make_address
#include <boost/asio/socket_base.hpp>  // linger, receive_buffer_size
#include <boost/asio/steady_timer.hpp> // steady_timer
#include <boost/asio/write.hpp>        // write

namespace endivehinge::tests
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

// small, so that a long request is still being sent as the response comes
constexpr int receive_buffer_bytes = 4096;
constexpr std::size_t read_bytes = 4096;
// a connection on which nothing more comes for this long was read to its end
constexpr std::chrono::milliseconds quiet_time(30);

/// @brief the value of a header field; empty if there is none
std::string field_of(std::string const & head, std::string const & name)
{
    auto const start = head.find("\r\n" + name + ": ");
    if (start == std::string::npos)
    {
        return {};
    }
    auto const value = start + name.size() + 4;
    return head.substr(value, head.find("\r\n", value) - value);
}

} // namespace

struct raw_target::connection
{
    explicit connection(tcp::socket accepted)
        : socket(std::move(accepted))
        , quiet_timer(socket.get_executor())
    {
    }

    tcp::socket socket;
    asio::steady_timer quiet_timer;
    std::array<char, read_bytes> buffer{};
    std::string received;
    bool was_used = false;
};

raw_target::raw_target(asio::io_context & loop,
                       endpoint const & address,
                       std::string instance)
    : acceptor(loop)
    , id(std::move(instance))
{
    tcp::endpoint const local(asio::ip::make_address(address.host),
                              address.port);
    this->acceptor.open(local.protocol());
    this->acceptor.set_option(asio::socket_base::reuse_address(true));
    this->acceptor.set_option(
        asio::socket_base::receive_buffer_size(receive_buffer_bytes));
    this->acceptor.bind(local);
    this->acceptor.listen();
    this->accept();
}

void raw_target::accept()
{
    this->acceptor.async_accept(
        [this](boost::system::error_code error, tcp::socket socket)
        {
            if (!error)
            {
                this->read(std::make_shared<connection>(std::move(socket)));
                this->accept();
            }
        });
}

void raw_target::read(connection_pointer const & client)
{
    client->socket.async_read_some(
        asio::buffer(client->buffer),
        [this, client](boost::system::error_code error, std::size_t size)
        {
            if (!error)
            {
                client->received.append(client->buffer.data(), size);
                this->handle_bytes(client);
            }
        });
}

void raw_target::handle_bytes(connection_pointer const & client)
{
    auto const head_end = client->received.find("\r\n\r\n");
    if (head_end == std::string::npos)
    {
        this->read(client);
        return;
    }
    auto const head = client->received.substr(0, head_end + 2);
    // the bodies of requests on a connection that stays open fit in one read
    client->received.clear();
    if (absl::StartsWith(head, "GET /health "))
    {
        boost::system::error_code ignored; // closed meanwhile
        asio::write(
            client->socket,
            asio::buffer(absl::StrCat("HTTP/1.1 200 OK\r\nInstance-Id: ",
                                      this->id,
                                      "\r\nServer-Load: 0,0,10,100\r\n"
                                      "Content-Length: 0\r\n\r\n")),
            ignored);
        this->read(client);
        return;
    }
    this->used_connections += client->was_used ? 0 : 1;
    client->was_used = true;
    this->respond(client, head);
}

void raw_target::respond(connection_pointer const & client,
                         std::string const & head)
{
    auto const text = absl::StrReplaceAll(
        this->response, {{"{id}", field_of(head, "Request-Id")}});
    boost::system::error_code ignored; // closed meanwhile
    asio::write(client->socket, asio::buffer(text), ignored);
    if (this->end == response_end::reset)
    {
        client->socket.set_option(asio::socket_base::linger(true, 0), ignored);
        client->socket.close(ignored);
    }
    else if (this->end == response_end::close)
    {
        this->discard(client);
    }
    else
    {
        this->read(client);
    }
}

void raw_target::discard(connection_pointer const & client)
{
    client->quiet_timer.expires_after(quiet_time);
    client->quiet_timer.async_wait(
        [client](boost::system::error_code error)
        {
            if (!error)
            {
                boost::system::error_code ignored; // closed meanwhile
                client->socket.shutdown(tcp::socket::shutdown_send, ignored);
            }
        });
    client->socket.async_read_some(
        asio::buffer(client->buffer),
        [this, client](boost::system::error_code error, std::size_t)
        {
            if (!error)
            {
                this->discard(client);
            }
        });
}

} // namespace endivehinge::tests

#include "repeating_target.hpp"

#include <algorithm> // count
#include <utility>   // move

#include <absl/strings/str_cat.h>    // StrCat
#include <absl/strings/str_format.h> // StrFormat
#include <boost/asio/buffer.hpp>     // buffer
#include <boost/asio/ip/address.hpp> // make_address
#include <boost/asio/write.hpp>      // write
#include <boost/beast/http/read.hpp> // async_read

namespace endivehinge::tests
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace
{

// between a late copy and the response to the next request, so that both are
// read apart
constexpr std::chrono::milliseconds response_delay(2);

} // namespace

repeating_target::repeating_target(asio::io_context & loop,
                                   endpoint const & address,
                                   std::string instance,
                                   repetition behaviour)
    : acceptor(
          loop,
          tcp::endpoint(asio::ip::make_address(address.host), address.port))
    , id(std::move(instance))
    , options(behaviour)
{
    this->accept();
}

std::size_t repeating_target::execution_count(std::string const & request) const
{
    return static_cast<std::size_t>(std::count(
        this->executed_ids.begin(), this->executed_ids.end(), request));
}

void repeating_target::accept()
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

void repeating_target::read(connection_pointer const & client)
{
    client->request = {};
    http::async_read(
        client->socket,
        client->buffer,
        client->request,
        [this, client](boost::system::error_code error, std::size_t)
        {
            if (error)
            {
                return;
            }
            boost::system::error_code ignored; // closed meanwhile
            if (!client->late.empty())
            {
                this->repeated_count += 1;
                asio::write(
                    client->socket, asio::buffer(client->late), ignored);
                client->late.clear();
            }
            this->respond(client);
        });
}

void repeating_target::respond(connection_pointer const & client)
{
    client->timer.expires_after(response_delay);
    client->timer.async_wait(
        [this, client](boost::system::error_code)
        {
            bool const is_probe = client->request.target() == "/health";
            auto const text = is_probe ? this->respond_to_probe()
                                       : this->respond_to_request(*client);
            boost::system::error_code error;
            asio::write(client->socket, asio::buffer(text), error);
            if (!error)
            {
                this->read(client);
            }
        });
}

std::string repeating_target::respond_to_probe()
{
    this->probe_count += 1;
    bool const is_healthy =
        !this->options.unhealthy_half_the_time || this->probe_count % 2 == 0;
    return absl::StrFormat("HTTP/1.1 %s\r\nInstance-Id: %s\r\n"
                           "Server-Load: 0,0,10,100\r\n"
                           "Content-Length: 0\r\n\r\n",
                           is_healthy ? "200 OK" : "503 Unavailable",
                           this->id);
}

std::string repeating_target::respond_to_request(connection & client)
{
    std::string const request_id(client.request["Request-Id"]);
    this->request_count += 1;
    std::string text;
    if (this->options.refused_every != 0 &&
        this->request_count % this->options.refused_every == 0)
    {
        text = absl::StrCat("HTTP/1.1 503 Unavailable\r\nNot-Executed: 1\r\n",
                            this->options.identifies_refusals
                                ? "Request-Id: " + request_id + "\r\n"
                                : "",
                            "Content-Length: 0\r\n\r\n");
    }
    else
    {
        this->executed_ids.push_back(request_id);
        text = this->write_success(request_id);
    }
    if (this->request_count % this->options.repeated_every == 0)
    {
        client.late = text;
    }
    return text;
}

std::string
repeating_target::write_success(std::string const & request_id) const
{
    auto const body = "ran " + request_id;
    return absl::StrCat(
        "HTTP/1.1 200 OK\r\nServer-Load: 0,0,10,100\r\nServer-Stamp: ",
        this->id,
        "\r\nRequest-Id: ",
        request_id,
        "\r\n",
        this->options.chunked
            ? absl::StrFormat("Transfer-Encoding: chunked\r\n\r\n"
                              "%x\r\n%s\r\n0\r\n\r\n",
                              body.size(),
                              body)
            : absl::StrFormat(
                  "Content-Length: %d\r\n\r\n%s", body.size(), body));
}

} // namespace endivehinge::tests

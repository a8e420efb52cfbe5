#include "target_stand_in.hpp"

#include <algorithm> // count

#include <gtest/gtest.h>

namespace endivehinge::tests
{

namespace http = boost::beast::http;

target_stand_in::target_stand_in(boost::asio::io_context & loop,
                                 std::string name)
    : id(std::move(name))
    , io(loop)
{
    this->restart(this->id);
}

endpoint target_stand_in::address() const
{
    return {"127.0.0.1", this->port};
}

void target_stand_in::close()
{
    this->listener->close();
}

void target_stand_in::crash()
{
    this->listener->abort();
}

void target_stand_in::restart(std::string new_id)
{
    this->id = std::move(new_id);
    this->listener = std::make_unique<detail::http_listener>(this->io, *this);
    failure reason;
    EXPECT_TRUE(this->listener->open({"127.0.0.1", this->port}, reason))
        << reason.describe();
    this->port = this->listener->port();
}

void target_stand_in::handle(std::shared_ptr<detail::exchange> incoming)
{
    if (incoming->request.target() == "/health")
    {
        this->probe_count += 1;
        if (!this->answers_probes)
        {
            return;
        }
        detail::response_message message{http::status::ok, 11};
        this->add_fields(message);
        for (auto const & [name, value] : this->health_fields)
        {
            message.set(name, value);
        }
        message.keep_alive(true);
        message.prepare_payload();
        incoming->respond(std::move(message));
        return;
    }
    if (incoming->request["Expect-Instance"] != this->id)
    {
        detail::response_message message{http::status::misdirected_request, 11};
        message.keep_alive(true);
        message.prepare_payload();
        incoming->respond(std::move(message));
        return;
    }
    this->executed_ids.emplace_back(incoming->request["Request-Id"]);
    this->last_request = incoming->request;
    incoming->on_cancel(
        [this]
        {
            this->cancelled_count += 1;
        });
    if (this->request_hook)
    {
        this->request_hook(incoming);
        return;
    }
    this->respond(*incoming, 200);
}

void target_stand_in::respond(detail::exchange & client, unsigned status)
{
    detail::response_message message{static_cast<http::status>(status), 11};
    this->add_fields(message);
    message.set("Request-Id", client.request["Request-Id"]);
    message.set("Server-Stamp", this->id);
    message.body() = "from " + this->id + this->extra_body;
    message.keep_alive(true);
    message.prepare_payload();
    client.respond(std::move(message));
}

std::size_t target_stand_in::execution_count(std::string const & request) const
{
    return static_cast<std::size_t>(std::count(
        this->executed_ids.begin(), this->executed_ids.end(), request));
}

void target_stand_in::add_fields(detail::response_message & message) const
{
    message.set("Instance-Id", this->id);
    for (auto const & [name, value] : this->extra_fields)
    {
        message.set(name, value);
    }
    message.set("Server-Load", "0,0,10," + std::to_string(this->slowdown));
}

} // namespace endivehinge::tests

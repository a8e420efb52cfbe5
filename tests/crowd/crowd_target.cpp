#include "crowd_target.hpp"

#include <utility> // move

#include <gtest/gtest.h>
#include <nlohmann/json.hpp> // json

#include <endivehinge/detail/gateway/loop_time.hpp>

namespace endivehinge::tests
{

namespace http = boost::beast::http;

namespace
{

constexpr duration report_interval = std::chrono::seconds(1);
constexpr std::uint32_t max_header_bytes = 65536;

bool ends_with(std::string_view text, std::string_view end)
{
    return text.size() >= end.size() &&
           text.substr(text.size() - end.size()) == end;
}

} // namespace

crowd_target::crowd_target(boost::asio::io_context & loop,
                           std::string own_id,
                           endpoint const & reports)
    : id(std::move(own_id))
    , listener(loop, *this)
    , node(loop, reports, detail::upstream_options{})
    , timer(loop)
{
    detail::server_limits limits;
    limits.header_bytes = max_header_bytes;
    this->listener.set_limits(limits);
    failure reason;
    EXPECT_TRUE(this->listener.open({"127.0.0.1", 0}, reason))
        << reason.describe();
    this->report();
}

endpoint crowd_target::address() const
{
    return {"127.0.0.1", this->listener.port()};
}

void crowd_target::handle(std::shared_ptr<detail::exchange> incoming)
{
    auto const & request = incoming->request;
    detail::response_message message{http::status::ok, 11};
    message.set("Request-Id", request["Request-Id"]);
    message.set("Instance-Id", this->id);
    message.set("Server-Stamp", this->id);
    message.set("Server-Load", "0,0,10,100");
    message.body() = std::to_string(request.body().size());
    if (ends_with(detail::std_view(request.target()), "/large"))
    {
        message.body().assign(large_answer_bytes, 'a');
    }
    message.keep_alive(true);
    message.prepare_payload();
    incoming->respond(std::move(message));
}

void crowd_target::report()
{
    this->sequence += 1;
    detail::request_message message{
        http::verb::post, "/api/instances/" + this->id + "/heartbeat", 11};
    message.body() = nlohmann::json{{"address", this->address().to_string()},
                                    {"born", 1000},
                                    {"info",
                                     {{"service", "web"},
                                      {"zone", "d1"},
                                      {"version", "v1"},
                                      {"slots", 10}}},
                                    {"status",
                                     {{"state", "ready"},
                                      {"sequence", this->sequence},
                                      {"coldRemainingS", 0}}}}
                         .dump();
    message.prepare_payload();
    detail::call_options options;
    options.deadline = detail::loop_now() + report_interval;
    static_cast<void>(this->node.send(
        std::move(message), options, false, [](auto const &) {}));
    this->timer.expires_after(report_interval);
    this->timer.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
            {
                this->report();
            }
        });
}

} // namespace endivehinge::tests

#include "soak_target.hpp"

#include <csignal>  // SIGTERM
#include <cstdlib>  // _Exit, EXIT_FAILURE
#include <iostream> // cerr

#include <absl/strings/match.h> // EndsWith
#include <nlohmann/json.hpp>    // json

#include <endivehinge/detail/gateway/loop_time.hpp>

namespace endivehinge::tests
{

namespace http = boost::beast::http;
using nlohmann::json;
using std::chrono::milliseconds;

namespace
{

constexpr int slots = 20;
// between two reports, and between two tries to have a drain confirmed
constexpr milliseconds report_interval(500);
constexpr milliseconds drain_interval(100);
constexpr milliseconds report_patience(400);
// a drained target ends so long after its last request
constexpr milliseconds idle_before_end(200);
// the end of the path of a request that crashes its target
constexpr char const * crashing_path = "/crash";
constexpr int shortest_run_ms = 2;
constexpr int longest_run_ms = 60;

} // namespace

soak_target::soak_target(soak_target_options chosen)
    : options(std::move(chosen))
    , random(this->options.seed)
    , events(this->options.events, std::ios::app)
    , listener(this->io, *this)
    , node(this->io, this->options.reports, detail::upstream_options{})
    , report_timer(this->io)
    , idle_timer(this->io)
    , signals(this->io, SIGTERM)
{
}

void soak_target::run()
{
    failure reason;
    if (!this->listener.open(this->options.listener, reason))
    {
        std::cerr << reason.describe() << "\n";
        return;
    }
    this->signals.async_wait(
        [this](boost::system::error_code error, int)
        {
            if (!error)
            {
                this->state = "draining";
                this->report(this->state);
            }
        });
    this->report(this->state);
    this->io.run();
}

void soak_target::handle(std::shared_ptr<detail::exchange> incoming)
{
    std::string const id(incoming->request["Request-Id"]);
    if (incoming->request.target() == "/health")
    {
        detail::response_message message{http::status::ok, 11};
        this->add_fields(message);
        message.keep_alive(true);
        message.prepare_payload();
        incoming->respond(std::move(message));
        return;
    }
    if (incoming->request["Expect-Instance"] != this->options.id)
    {
        detail::response_message message{http::status::misdirected_request, 11};
        message.keep_alive(true);
        message.prepare_payload();
        incoming->respond(std::move(message));
        return;
    }
    if (this->drained)
    {
        this->note("late " + id);
    }
    this->note("ran " + id);
    if (absl::EndsWith(std::string(incoming->request.target()), crashing_path))
    {
        std::_Exit(EXIT_FAILURE);
    }
    this->running += 1;
    std::uniform_int_distribution<int> run_time(shortest_run_ms,
                                                longest_run_ms);
    auto const timer = std::make_shared<boost::asio::steady_timer>(
        this->io, milliseconds(run_time(this->random)));
    timer->async_wait(
        [this, timer, incoming, id](boost::system::error_code)
        {
            this->running -= 1;
            this->respond(incoming, id);
        });
}

void soak_target::respond(std::shared_ptr<detail::exchange> const & client,
                          std::string const & id)
{
    detail::response_message message{http::status::ok, 11};
    this->add_fields(message);
    message.set("Request-Id", id);
    message.set("Server-Stamp", this->options.id);
    message.body() = "ran " + id;
    message.keep_alive(true);
    message.prepare_payload();
    client->respond(std::move(message));
}

void soak_target::add_fields(detail::response_message & message) const
{
    message.set("Instance-Id", this->options.id);
    message.set("Server-Load",
                std::to_string(this->running) + ",0," + std::to_string(slots) +
                    ",100");
}

void soak_target::report(std::string const & stated)
{
    bool const leaves = stated == "leave";
    detail::request_message message{http::verb::post,
                                    "/api/instances/" + this->options.id +
                                        (leaves ? "/leave" : "/heartbeat"),
                                    11};
    this->sequence += 1;
    message.body() = json{{"address", this->options.announced.to_string()},
                          {"born", 1000},
                          {"info",
                           {{"service", this->options.service},
                            {"zone", this->options.domain},
                            {"version", "v1"},
                            {"slots", slots}}},
                          {"status",
                           {{"state", this->state},
                            {"sequence", this->sequence},
                            {"coldRemainingS", 0}}}}
                         .dump();
    message.prepare_payload();
    detail::call_options bounds;
    bounds.deadline = detail::loop_now() + report_patience;
    static_cast<void>(
        this->node.send(std::move(message),
                        bounds,
                        false,
                        [this, stated](detail::call_result const & got)
                        {
                            this->reported(stated, got);
                        }));
}

void soak_target::reported(std::string const & stated,
                           detail::call_result const & result)
{
    bool const confirmed = result.status == detail::call_status::answered &&
                           result.response.result() == http::status::ok;
    if (stated == "leave" && confirmed)
    {
        this->io.stop();
        return;
    }
    if (stated == "draining" && confirmed && !this->drained)
    {
        this->drained = true;
        this->note("drained");
        this->leave_when_idle();
        return;
    }
    if (this->drained && stated != "leave")
    {
        return;
    }
    this->report_timer.expires_after(stated == "ready" ? report_interval
                                                       : drain_interval);
    this->report_timer.async_wait(
        [this, stated](boost::system::error_code error)
        {
            if (!error)
            {
                this->report(stated == "leave" ? stated : this->state);
            }
        });
}

void soak_target::leave_when_idle()
{
    this->idle_timer.expires_after(idle_before_end);
    this->idle_timer.async_wait(
        [this](boost::system::error_code error)
        {
            if (error)
            {
                return;
            }
            this->running > 0 ? this->leave_when_idle() : this->report("leave");
        });
}

void soak_target::note(std::string const & event)
{
    auto const at = detail::loop_now().time_since_epoch();
    this->events << event << " " << at / milliseconds(1) << std::endl;
}

} // namespace endivehinge::tests

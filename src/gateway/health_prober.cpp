#include <endivehinge/detail/gateway/health_prober.hpp>

#include <utility> // move

#include <endivehinge/detail/gateway/loop_time.hpp>

namespace endivehinge::detail
{

namespace http = boost::beast::http;

namespace
{

// interval of periodic probes, which report the slowdown and cold state of the
// target; far below the maximum rate of 60 probes per second
constexpr duration probe_interval = std::chrono::milliseconds(250);
constexpr duration probe_timeout = std::chrono::milliseconds(1000);
// short, since a target responds to probes immediately under any load, and a
// request waits for the result
constexpr duration on_demand_timeout = std::chrono::milliseconds(30);
// a target that does not state its load answers probes like other requests,
// once a slot is free
constexpr duration patient_timeout = std::chrono::milliseconds(250);
// the content is not used
constexpr std::uint64_t max_probe_response_bytes = 65536;
// a target that does not respond has four periodic probes pending at a time,
// one per interval until the timeout; as many again are left for probes on
// demand
constexpr std::size_t max_probe_connections = 8;
// for a connection to the target, which runs on the same machine as this
// process, so that no network delay adds to it
constexpr duration connect_timeout = std::chrono::milliseconds(250);

upstream_options probe_options(response_registry & responses)
{
    upstream_options options;
    options.responses = &responses;
    options.max_connections = max_probe_connections;
    return options;
}

} // namespace

health_prober::health_prober(boost::asio::io_context & loop,
                             endpoint const & target,
                             std::string id_field,
                             response_registry & responses)
    : server(loop, target, probe_options(responses))
    , address(target)
    , request_id_field(std::move(id_field))
    , timer(loop)
{
}

void health_prober::set_path(std::string const & health_path)
{
    this->path = health_path;
}

void health_prober::set_address(endpoint const & target)
{
    this->address = target;
    this->server.set_remote(target);
}

void health_prober::start(response_handler on_response)
{
    this->handler = std::move(on_response);
    this->schedule();
}

bool health_prober::probe_now(response_handler done)
{
    return this->send(on_demand_timeout, false, std::move(done));
}

bool health_prober::probe_patiently(response_handler done)
{
    return this->send(patient_timeout, false, std::move(done));
}

bool health_prober::probe_new_connection(response_handler done)
{
    return this->send(probe_timeout, true, std::move(done));
}

void health_prober::record_response(time_point now)
{
    this->last_response = now;
}

void health_prober::close_idle()
{
    this->server.close_idle();
}

std::uint64_t health_prober::opened_connections() const
{
    return this->server.opened_count();
}

void health_prober::schedule()
{
    this->timer.expires_after(probe_interval);
    this->timer.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
            {
                this->probe();
            }
        });
}

void health_prober::probe()
{
    this->schedule();
    if (loop_now() - this->last_response >= probe_interval)
    {
        // if no probe can be sent, the next interval retries
        static_cast<void>(this->send(probe_timeout, false, this->handler));
    }
}

bool health_prober::send(duration timeout,
                         bool force_new,
                         response_handler done)
{
    if (this->path.empty())
    {
        return false;
    }
    request_message message{http::verb::get, this->path, 11};
    message.set(http::field::host, this->address.to_string());
    call_options options;
    options.deadline = loop_now() + timeout;
    options.connect_timeout = connect_timeout;
    options.id_field = this->request_id_field;
    options.max_response_bytes = max_probe_response_bytes;
    return this->server.send(
               std::move(message), options, force_new, std::move(done)) !=
           nullptr;
}

} // namespace endivehinge::detail

#include <endivehinge/detail/gateway/gateway_parts.hpp>

#include <endivehinge/detail/gateway/loop_time.hpp>

namespace endivehinge::detail
{
namespace
{

// the platform asks every second whether a node takes clients and stops
// sending new ones after two answers of no
constexpr duration clients_leave = std::chrono::milliseconds(2300);
// before the process is killed, for the last responses to leave
constexpr duration kill_margin = std::chrono::milliseconds(300);
// a client's header and the fields of a hop
constexpr std::uint32_t peer_header_bytes = 65536;
// longer than other nodes keep an idle connection, so that they close first
constexpr duration peer_idle_timeout = std::chrono::seconds(30);
constexpr duration stop_check = std::chrono::milliseconds(50);

server_limits limits_of(client_limits const & stated)
{
    server_limits limits;
    if (stated.header_bytes > 0)
    {
        limits.header_bytes = stated.header_bytes;
    }
    if (stated.body_bytes > 0)
    {
        limits.body_bytes = stated.body_bytes;
    }
    if (stated.header_timeout > duration(0))
    {
        limits.header_timeout = stated.header_timeout;
    }
    if (stated.idle_timeout > duration(0))
    {
        limits.idle_timeout = stated.idle_timeout;
    }
    return limits;
}

/// @brief other nodes close their idle connections first
server_limits limits_of_peers()
{
    server_limits limits;
    limits.header_bytes = peer_header_bytes;
    limits.idle_timeout = peer_idle_timeout;
    return limits;
}

} // namespace

bool gateway_parts::open(failure & reason)
{
    auto const & settings = this->state.settings;
    if (!this->client_listener.open(settings.client_listener, reason) ||
        !this->peer_listener.open(settings.peer_listener, reason) ||
        !this->readiness_listener.open(settings.readiness_listener, reason) ||
        !this->report_listener.open(settings.report_listener, reason))
    {
        return false;
    }
    if (settings.metrics_listener &&
        !this->metrics_listener.open(*settings.metrics_listener, reason))
    {
        this->state.log.write("metrics_not_served",
                              {{"reason", reason.describe()}});
    }
    this->peer_listener.set_limits(limits_of_peers());
    this->state.log.write("start",
                          {{"service", settings.service.value()},
                           {"domain", settings.domain.value()},
                           {"target", settings.target_address.to_string()}});
    this->state.target.on_entry_change(
        [this]
        {
            this->replicas.publish();
        });
    this->replicas.start(
        [this]
        {
            this->configured();
        });
    this->state.target.start_probing();
    return true;
}

void gateway_parts::configured()
{
    auto const & configuration = *this->state.fleet.configuration();
    this->client_listener.set_limits(limits_of(configuration.limits));
    this->state.splits.retain(configuration.routes);
    if (auto const * const own =
            configuration.find_service(this->state.settings.service))
    {
        this->state.target.set_properties(*own);
    }
}

void gateway_parts::reload(gateway_settings const & newer)
{
    this->state.settings.bounds = newer.bounds;
    this->state.settings.seeds = newer.seeds;
    this->state.log.write("reload", {});
}

void gateway_parts::stop(std::function<void()> stopped)
{
    if (this->state.stopping)
    {
        return;
    }
    this->stopped_action = std::move(stopped);
    this->state.stopping = true;
    this->stop_began = loop_now();
    this->state.stop_deadline =
        this->stop_began + this->state.settings.bounds.stop_grace - kill_margin;
    this->state.log.write(
        "stop_began",
        {{"requests", std::to_string(this->client_listener.pending_count())}});
    this->check_stopped();
}

void gateway_parts::check_stopped()
{
    auto const passed = loop_now() - this->stop_began;
    auto const pending = this->client_listener.pending_count() +
                         this->peer_listener.pending_count();
    if (passed >= clients_leave)
    {
        this->client_listener.drain();
    }
    bool const out_of_time = loop_now() >= this->state.stop_deadline;
    if ((passed >= clients_leave && pending == 0) || out_of_time)
    {
        this->state.log.write("stop", {{"requests", std::to_string(pending)}});
        this->stopped_action();
        return;
    }
    this->stop_timer.expires_after(stop_check);
    this->stop_timer.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
            {
                this->check_stopped();
            }
        });
}

} // namespace endivehinge::detail

#include <endivehinge/detail/gateway/gateway.hpp>

#include <csignal> // SIGHUP, SIGINT, SIGTERM, signal

#include "gateway_parts.hpp"

namespace endivehinge::detail
{
namespace
{

// the platform asks every second whether a node takes clients and stops
// sending new ones after two answers of no
constexpr duration clients_leave = std::chrono::milliseconds(2300);
// before the process is killed, for the last responses to leave
constexpr duration kill_margin = std::chrono::milliseconds(300);
constexpr duration stop_check = std::chrono::milliseconds(50);

time_point now()
{
    return std::chrono::steady_clock::now();
}

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
    limits.header_bytes = 65536;
    limits.idle_timeout = std::chrono::seconds(30);
    return limits;
}

} // namespace

gateway::gateway(gateway_settings chosen,
                 gateway_adapters means,
                 settings_source source)
    : parts(
          std::make_unique<gateway_parts>(std::move(chosen), std::move(means)))
    , reread(std::move(source))
{
}

gateway::~gateway() = default;

bool gateway::run(failure & reason)
{
    auto & p = *this->parts;
    auto const & settings = p.state.settings;
    std::signal(SIGPIPE, SIG_IGN);
    if (!p.client_listener.open(settings.client_listener, reason) ||
        !p.peer_listener.open(settings.peer_listener, reason) ||
        !p.readiness_listener.open(settings.readiness_listener, reason) ||
        !p.report_listener.open(settings.report_listener, reason))
    {
        return false;
    }
    if (settings.metrics_listener &&
        !p.metrics_listener.open(*settings.metrics_listener, reason))
    {
        p.state.log.write("metrics_not_served",
                          {{"reason", reason.describe()}});
    }
    p.peer_listener.set_limits(limits_of_peers());
    p.state.log.write("start",
                      {{"service", settings.service.value()},
                       {"domain", settings.domain.value()},
                       {"target", settings.target_address.to_string()}});
    p.state.target.on_entry_change(
        [&p]
        {
            p.replicas.publish();
        });
    p.replicas.start(
        [&p]
        {
            auto const & configuration = *p.state.fleet.configuration();
            p.client_listener.set_limits(limits_of(configuration.limits));
            p.state.splits.retain(configuration.routes);
            if (auto const * const own =
                    configuration.find_service(p.state.settings.service))
            {
                p.state.target.set_properties(*own);
            }
        });
    p.state.target.start_probing();
    p.signals.add(SIGTERM);
    p.signals.add(SIGINT);
    p.signals.add(SIGHUP);
    this->handle_signal();
    p.io.run();
    return true;
}

void gateway::handle_signal()
{
    this->parts->signals.async_wait(
        [this](boost::system::error_code error, int number)
        {
            if (error)
            {
                return;
            }
            if (number == SIGHUP)
            {
                this->reload();
            }
            else
            {
                this->stop();
            }
            this->handle_signal();
        });
}

void gateway::reload()
{
    failure reason;
    auto const settings = this->reread(reason);
    if (!settings)
    {
        this->parts->state.log.write("reload_failed",
                                     {{"reason", reason.describe()}});
        return;
    }
    this->parts->state.settings.bounds = settings->bounds;
    this->parts->state.settings.seeds = settings->seeds;
    this->parts->state.log.write("reload", {});
}

void gateway::stop()
{
    auto & p = *this->parts;
    if (p.state.stopping)
    {
        return;
    }
    p.state.stopping = true;
    p.stop_began = now();
    p.state.stop_ends =
        p.stop_began + p.state.settings.bounds.stop_grace - kill_margin;
    p.state.log.write(
        "stop_began",
        {{"requests", std::to_string(p.client_listener.pending_count())}});
    this->check_stopped();
}

void gateway::check_stopped()
{
    auto & p = *this->parts;
    auto const passed = now() - p.stop_began;
    auto const pending =
        p.client_listener.pending_count() + p.peer_listener.pending_count();
    if (passed >= clients_leave)
    {
        p.client_listener.drain();
    }
    bool const out_of_time = now() >= p.state.stop_ends;
    if ((passed >= clients_leave && pending == 0) || out_of_time)
    {
        p.state.log.write("stop", {{"requests", std::to_string(pending)}});
        p.io.stop();
        return;
    }
    p.stop_timer.expires_after(stop_check);
    p.stop_timer.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
            {
                this->check_stopped();
            }
        });
}

} // namespace endivehinge::detail

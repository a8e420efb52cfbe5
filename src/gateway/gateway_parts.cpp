#include <endivehinge/detail/gateway/gateway_parts.hpp>

#include <endivehinge/detail/gateway/loop_time.hpp>

namespace endivehinge::detail
{
namespace
{

// the platform probes readiness every second and stops sending clients after
// two negative responses
constexpr duration readiness_propagation_time = std::chrono::milliseconds(2300);
// a client's header plus the fields that the sending node adds
constexpr std::uint32_t peer_header_bytes = 65536;
// longer than other nodes keep an idle connection, so that this side does not
// close one that they are about to use
constexpr duration peer_idle_timeout = std::chrono::seconds(30);
// status reports and probes have a few hundred bytes
constexpr std::uint64_t small_message_bytes = 65536;
constexpr duration stop_check_interval = std::chrono::milliseconds(50);
// before the end of the process, for the last responses to be delivered to slow
// clients
constexpr duration connection_end_time = std::chrono::milliseconds(1000);

server_limits client_limits_of(client_limits const & configured_limits)
{
    server_limits limits;
    if (configured_limits.header_bytes > 0)
    {
        limits.header_bytes = configured_limits.header_bytes;
    }
    if (configured_limits.body_bytes > 0)
    {
        limits.body_bytes = configured_limits.body_bytes;
    }
    if (configured_limits.header_timeout > duration(0))
    {
        limits.header_timeout = configured_limits.header_timeout;
    }
    if (configured_limits.idle_timeout > duration(0))
    {
        limits.idle_timeout = configured_limits.idle_timeout;
    }
    limits.accepts_half_close = true;
    return limits;
}

/// @brief limits for connections from other nodes, which pass on requests of
/// clients
server_limits peer_server_limits(server_limits const & of_clients)
{
    server_limits limits;
    limits.header_bytes = peer_header_bytes;
    limits.body_bytes = of_clients.body_bytes;
    limits.idle_timeout = peer_idle_timeout;
    return limits;
}

/// @brief limits for connections that carry reports, probes and metrics
server_limits small_message_limits()
{
    server_limits limits;
    limits.body_bytes = small_message_bytes;
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
    this->peer_listener.set_limits(peer_server_limits(server_limits()));
    this->readiness_listener.set_limits(small_message_limits());
    this->report_listener.set_limits(small_message_limits());
    this->metrics_listener.set_limits(small_message_limits());
    this->state.log.write("start",
                          {{"service", settings.service.value()},
                           {"domain", settings.domain.value()},
                           {"target", settings.target_address.to_string()}});
    this->state.target.set_start_check(
        [this](dispatch_request const & request)
        {
            return this->state.start_refusal(request);
        });
    this->state.target.on_entry_change(
        [this]
        {
            this->replicas.publish();
        });
    this->state.target.crash_monitor().on_crash(
        [this](std::vector<crash_report> const & found)
        {
            this->crash_reports.send(found);
            this->replicas.publish();
        });
    this->replicas.start(
        [this]
        {
            this->apply_configuration();
        });
    this->state.target.start_probing();
    this->rollouts.start();
    return true;
}

void gateway_parts::apply_configuration()
{
    auto const & configuration = *this->state.fleet.configuration();
    auto const limits = client_limits_of(configuration.limits);
    this->client_listener.set_limits(limits);
    this->peer_listener.set_limits(peer_server_limits(limits));
    this->state.splits.retain(configuration.routes);
    this->state.target.set_accounts(configuration.accounts);
    this->apply_target_properties();
    if (configuration.requires_accounts)
    {
        this->allotments.start();
    }
    this->state.notify_configuration();
}

void gateway_parts::apply_target_properties()
{
    auto const & configuration = this->state.fleet.configuration();
    auto const * const own_service =
        configuration
            ? configuration->find_service(this->state.settings.service)
            : nullptr;
    if (own_service != nullptr)
    {
        this->state.target.set_properties(*own_service);
    }
}

void gateway_parts::reload(gateway_settings const & new_settings)
{
    this->state.settings.bounds = new_settings.bounds;
    this->state.settings.accounts = new_settings.accounts;
    this->state.settings.seeds = new_settings.seeds;
    this->state.log.write("reload", {});
    if (new_settings.service != this->state.settings.service ||
        new_settings.target_address != this->state.settings.target_address)
    {
        this->state.settings.service = new_settings.service;
        this->state.settings.target_address = new_settings.target_address;
        this->state.target.reassign();
        this->apply_target_properties();
    }
}

void gateway_parts::stop(std::function<void()> callback)
{
    if (this->state.stopping)
    {
        return;
    }
    this->on_stopped = std::move(callback);
    this->state.stopping = true;
    this->state.target.stop_adopting();
    this->state.target.when_departed(
        [this]
        {
            this->replicas.withdraw();
        });
    this->stop_started = loop_now();
    this->state.stop = stop_schedule::begin(
        this->stop_started, this->state.settings.bounds.stop_grace);
    this->state.log.write(
        "stop_began",
        {{"requests", std::to_string(this->client_listener.pending_count())}});
    this->check_stopped();
}

void gateway_parts::review_requests(time_point now)
{
    if (now >= this->state.stop.conclusion && !this->concluded)
    {
        this->concluded = true;
        this->state.log.write(
            "stop_concluded",
            {{"requests",
              std::to_string(this->client_listener.pending_count())},
             {"peer_requests",
              std::to_string(this->peer_listener.pending_count())}});
    }
    if (this->concluded)
    {
        this->client_listener.refuse_partial_requests();
        this->peer_listener.refuse_partial_requests();
    }
    this->client_listener.review_stop();
    this->peer_listener.review_stop();
}

void gateway_parts::check_stopped()
{
    // first, so that an exception does not end the checks
    this->stop_timer.expires_after(stop_check_interval);
    this->stop_timer.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
            {
                this->check_stopped();
            }
        });
    auto const elapsed = loop_now() - this->stop_started;
    auto const pending = this->client_listener.pending_count() +
                         this->peer_listener.pending_count();
    auto const now = loop_now();
    if (elapsed >= readiness_propagation_time)
    {
        this->client_listener.drain();
        this->ending = this->ending || pending == 0;
    }
    this->ending =
        this->ending || now + connection_end_time >= this->state.stop.deadline;
    bool const was_ending = this->retired;
    if (this->ending)
    {
        this->client_listener.finish();
        this->peer_listener.finish();
        if (!this->retired)
        {
            this->retired = true;
            this->allotments.retire();
        }
    }
    this->review_requests(now);
    auto const unfinished = this->client_listener.unfinished_count() +
                            this->peer_listener.unfinished_count();
    // one more turn, in which the votes of this node's accounts are returned
    if ((was_ending && unfinished == 0) || now >= this->state.stop.deadline)
    {
        this->state.log.write("stop",
                              {{"requests", std::to_string(pending)},
                               {"connections", std::to_string(unfinished)}});
        // logs the responses that were not delivered
        this->client_listener.abort();
        this->peer_listener.abort();
        this->stop_timer.cancel();
        this->on_stopped();
    }
}

} // namespace endivehinge::detail

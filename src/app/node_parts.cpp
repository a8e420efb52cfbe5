#include <endivehinge/detail/node/node_parts.hpp>

#include <algorithm> // max

#include <absl/time/clock.h> // SleepFor
#include <absl/time/time.h>  // Milliseconds

#include <endivehinge/detail/log/log.hpp>

namespace endivehinge::detail
{
namespace
{

constexpr duration platform_timeout = std::chrono::seconds(2);
constexpr duration announcement_lifetime = std::chrono::seconds(3);
constexpr duration control_stop_timeout = std::chrono::seconds(1);
constexpr absl::Duration announcement_interval = absl::Milliseconds(100);
// within this time the other nodes learn of a leaving node and stop sending
// requests to it
constexpr absl::Duration leave_notification_delay = absl::Seconds(2);
// time limit for handing the key records over to the next owners
constexpr absl::Duration key_handover_timeout = absl::Seconds(5);
// The control port is the same number for TCP and UDP; a number that is free
// for TCP may be in use for UDP, so other numbers are tried.
constexpr int max_port_attempts = 16;

logger const & node_log()
{
    static logger const instance("node");
    return instance;
}

incarnation create_incarnation(clock const & time)
{
    return incarnation(
        static_cast<std::uint64_t>(time.wall_now().time_since_epoch().count()));
}

} // namespace

node_parts::node_parts(node_settings const & initial_settings)
    : settings(initial_settings)
    , own_incarnation(create_incarnation(this->time))
    , store(initial_settings.platform, this->client, platform_timeout)
    , members(std::make_unique<membership_service>(this->time))
    , peer_client(control_limits())
    , contacts(std::make_unique<contact_list>(this->store, *this->members))
    , configuration(
          std::make_unique<configuration_service>(initial_settings.name,
                                                  initial_settings.domain,
                                                  this->store,
                                                  *this->members,
                                                  this->peer_client,
                                                  this->configuration_state,
                                                  this->time))
    , events(std::make_unique<event_dispatcher>(*this->configuration,
                                                this->client))
    , crash_report_exchange(
          std::make_unique<crash_report_broadcaster>(initial_settings.name,
                                                     initial_settings.service,
                                                     *this->members,
                                                     this->peer_client,
                                                     this->quarantine))
    , ownership({initial_settings.name, this->own_incarnation},
                initial_settings.service,
                lease_timing(),
                idempotency_limits(),
                this->time)
    , lease_service(std::make_unique<ownership_service>(
          owner_identity{initial_settings.name, this->own_incarnation},
          initial_settings.service,
          this->ownership,
          *this->members,
          this->store,
          this->peer_client,
          this->time))
    , locator(initial_settings.service,
              this->ownership,
              *this->members,
              this->store,
              this->peer_client,
              this->time)
    , executions(this->own_incarnation, this->time)
    , request_ids(initial_settings.name, this->own_incarnation)
    , quarantine(this->time)
    , executor(
          initial_settings.name, this->client, this->quarantine, this->time)
    , peer_executor(this->client, this->time)
    , router(initial_settings.name,
             initial_settings.domain,
             {*this->members,
              this->configuration_state,
              this->executor,
              this->peer_executor,
              this->request_ids,
              this->policy,
              this->time})
    , request_metrics(this->configuration_state, this->time)
    , key_router(initial_settings.name,
                 {this->locator,
                  this->ownership,
                  this->router,
                  this->peer_executor,
                  this->request_ids,
                  this->time})
    , ingress(this->request_ids,
              this->configuration_state,
              this->router,
              this->key_router,
              this->request_metrics,
              this->time)
    , peers(this->executor,
            this->key_router,
            this->ownership,
            this->executions,
            this->time)
    , admin(
          this->executor, *this->members, this->configuration_state, this->time)
{
    this->admin.set_metrics(this->request_metrics);
}

node_parts::~node_parts()
{
    this->stop_announcements();
    this->admin_server.reset();
    this->peer_server.reset();
    this->ingress_server.reset();
    this->control.reset();
    this->lease_service->stop();
    this->crash_report_exchange->stop();
    this->contacts->stop();
    this->members->stop();
    this->events->stop();
    this->configuration->stop();
}

bool node_parts::start(failure & reason)
{
    if (!this->open_control(reason) || !this->open_http(reason))
    {
        return false;
    }
    this->start_threads();
    return true;
}

node_ports node_parts::ports() const
{
    return {this->ingress_server->port(),
            this->peer_server->port(),
            this->members->address().port,
            this->admin_server->port()};
}

bool node_parts::drain()
{
    {
        absl::MutexLock lock(&this->mutex);
        this->is_leaving = true;
    }
    this->announce_local_member();
    this->ingress_server->close_connections_after_answers();
    if (!this->lease_service->leave(key_handover_timeout))
    {
        // expected when all nodes of the service leave: no next owner is left
        node_log().warning(
            "Key handover did not finish in time; leaving without it.");
    }
    absl::SleepFor(leave_notification_delay);
    absl::Duration const drain_timeout =
        absl::FromChrono(this->settings.shutdown_deadline);
    bool const is_ingress_drained = this->ingress_server->drain(drain_timeout);
    this->executor.stop_admitting();
    bool const are_peers_drained = this->peer_server->drain(drain_timeout);
    this->members->leave();
    this->control->stop(control_stop_timeout);
    return is_ingress_drained && are_peers_drained;
}

bool node_parts::open_control(failure & reason)
{
    int const attempts =
        this->settings.control.port == 0 ? max_port_attempts : 1;
    for (int i = 0; i < attempts; ++i)
    {
        if (this->open_control_once(reason))
        {
            return true;
        }
    }
    return false;
}

bool node_parts::open_control_once(failure & reason)
{
    control_handlers handlers;
    handlers.configuration = this->configuration.get();
    handlers.lease = &this->ownership;
    handlers.marks = this->crash_report_exchange.get();
    this->control = control_server::start(
        this->settings.control, handlers, control_limits(), reason);
    if (this->control == nullptr)
    {
        return false;
    }
    return this->members->open(
        {this->settings.control.host, this->control->port()}, reason);
}

bool node_parts::open_http(failure & reason)
{
    http_server_limits const limits;
    this->ingress_server = http_server::start(
        this->settings.ingress, this->ingress, limits, reason);
    this->peer_server =
        http_server::start(this->settings.peers, this->peers, limits, reason);
    this->admin_server =
        http_server::start(this->settings.admin, this->admin, limits, reason);
    return this->ingress_server != nullptr && this->peer_server != nullptr &&
           this->admin_server != nullptr;
}

void node_parts::start_threads()
{
    this->announce_local_member();
    this->events->start();
    this->members->start(this->events.get());
    this->contacts->start();
    this->configuration->start();
    this->crash_report_exchange->start();
    this->lease_service->start();
    this->announcement_thread =
        std::thread(&node_parts::announce_periodically, this);
}

void node_parts::announce_periodically()
{
    while (true)
    {
        this->announce_local_member();
        absl::MutexLock lock(&this->mutex);
        if (this->mutex.AwaitWithTimeout(absl::Condition(&this->is_stopping),
                                         announcement_interval))
        {
            return;
        }
    }
}

void node_parts::announce_local_member()
{
    target_status const target = this->executor.status();
    this->apply_configuration();
    member self;
    self.name = this->settings.name;
    self.run = this->own_incarnation;
    self.service = this->settings.service;
    self.domain = this->settings.domain;
    self.region = this->settings.region;
    self.peer_address = {this->settings.peers.host, this->peer_server->port()};
    self.control_address = this->members->address();
    self.slots = target.slots;
    self.accepts_work = this->accepts_work_for(target);
    this->members->announce(self);
    this->members->set_configuration_version(this->configuration->version());
}

void node_parts::apply_configuration()
{
    auto const active_configuration = this->configuration_state.current();
    this->executor.set_drained(active_configuration->is_drained(
        this->settings.domain, this->settings.name));
    if (auto const * const service =
            active_configuration->find(this->settings.service))
    {
        this->ownership.set_window(service->idempotency_window);
        this->executor.set_extra_request_limits(
            service->hedge_share, service->measurements_per_second);
    }
}

bool node_parts::accepts_work_for(target_status const & target) const
{
    bool const is_announcement_recent =
        this->time.now() - target.announced_at < announcement_lifetime;
    bool const is_available = target.phase == target_phase::cold ||
                              target.phase == target_phase::ready;
    absl::MutexLock lock(&this->mutex);
    return is_announcement_recent && is_available && !this->is_leaving;
}

void node_parts::stop_announcements()
{
    {
        absl::MutexLock lock(&this->mutex);
        this->is_stopping = true;
    }
    if (this->announcement_thread.joinable())
    {
        this->announcement_thread.join();
    }
}

} // namespace endivehinge::detail

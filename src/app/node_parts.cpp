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
constexpr duration control_stop_patience = std::chrono::seconds(1);
constexpr absl::Duration self_check_interval = absl::Milliseconds(100);
// others stop sending to a node that leaves within this time
constexpr absl::Duration leave_notice = absl::Seconds(2);
// the next owners of the keys have the records within this time
constexpr absl::Duration key_handover_patience = absl::Seconds(5);
// one number for TCP and UDP: a free one may be taken for the other
constexpr int most_port_tries = 16;

logger const & node_log()
{
    static logger const instance("node");
    return instance;
}

incarnation this_run(clock const & time)
{
    return incarnation(
        static_cast<std::uint64_t>(time.wall_now().time_since_epoch().count()));
}

} // namespace

node_parts::node_parts(node_settings const & given)
    : settings(given)
    , run(this_run(this->time))
    , store(given.platform, this->client, platform_timeout)
    , members(std::make_unique<membership_service>(this->time))
    , calls(control_limits())
    , contacts(std::make_unique<contact_list>(this->store, *this->members))
    , configuration(std::make_unique<configuration_service>(given.name,
                                                            given.domain,
                                                            this->store,
                                                            *this->members,
                                                            this->calls,
                                                            this->configured,
                                                            this->time))
    , events(std::make_unique<event_dispatcher>(*this->configuration,
                                                this->client))
    , marks(std::make_unique<mark_sharer>(given.name,
                                          given.service,
                                          *this->members,
                                          this->calls,
                                          this->quarantine))
    , ownership({given.name, this->run},
                given.service,
                lease_timing(),
                idempotency_limits(),
                this->time)
    , leases(std::make_unique<ownership_service>(
          owner_identity{given.name, this->run},
          given.service,
          this->ownership,
          *this->members,
          this->store,
          this->calls,
          this->time))
    , locator(given.service,
              this->ownership,
              *this->members,
              this->store,
              this->calls,
              this->time)
    , log(this->run, this->time)
    , ids(given.name, this->run)
    , quarantine(this->time)
    , executor(given.name, this->client, this->quarantine, this->time)
    , remote(this->client, this->time)
    , router(given.name,
             given.domain,
             {*this->members,
              this->configured,
              this->executor,
              this->remote,
              this->ids,
              this->policy,
              this->time})
    , recorded(this->configured, this->time)
    , keyed(given.name,
            {this->locator,
             this->ownership,
             this->router,
             this->remote,
             this->ids,
             this->time})
    , ingress(this->ids,
              this->configured,
              this->router,
              this->keyed,
              this->recorded,
              this->time)
    , peers(this->executor, this->keyed, this->ownership, this->log, this->time)
    , admin(this->executor, *this->members, this->configured, this->time)
{
    this->admin.set_metrics(this->recorded);
}

node_parts::~node_parts()
{
    this->stop_self_check();
    this->admin_server.reset();
    this->peer_server.reset();
    this->ingress_server.reset();
    this->control.reset();
    this->leases->stop();
    this->marks->stop();
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
        this->leaving = true;
    }
    this->announce_self();
    this->ingress_server->close_connections_after_answers();
    if (!this->leases->leave(key_handover_patience))
    {
        // with the whole service leaving there is no next owner
        node_log().warning("The keys were not handed over.");
    }
    absl::SleepFor(leave_notice);
    absl::Duration const patience =
        absl::FromChrono(this->settings.shutdown_deadline);
    bool const callers_done = this->ingress_server->drain(patience);
    this->executor.stop_admitting();
    bool const peers_done = this->peer_server->drain(patience);
    this->members->leave();
    this->control->stop(control_stop_patience);
    return callers_done && peers_done;
}

bool node_parts::open_control(failure & reason)
{
    int const tries = this->settings.control.port == 0 ? most_port_tries : 1;
    for (int i = 0; i < tries; ++i)
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
    handlers.marks = this->marks.get();
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
    this->announce_self();
    this->events->start();
    this->members->start(this->events.get());
    this->contacts->start();
    this->configuration->start();
    this->marks->start();
    this->leases->start();
    this->self_check = std::thread(&node_parts::watch_self, this);
}

void node_parts::watch_self()
{
    while (true)
    {
        this->announce_self();
        absl::MutexLock lock(&this->mutex);
        if (this->mutex.AwaitWithTimeout(absl::Condition(&this->stopping),
                                         self_check_interval))
        {
            return;
        }
    }
}

void node_parts::announce_self()
{
    target_status const target = this->executor.status();
    this->apply_configuration();
    member self;
    self.name = this->settings.name;
    self.run = this->run;
    self.service = this->settings.service;
    self.domain = this->settings.domain;
    self.region = this->settings.region;
    self.peer_address = {this->settings.peers.host, this->peer_server->port()};
    self.control_address = this->members->address();
    self.slots = target.slots;
    self.accepts_work = this->takes_work(target);
    this->members->announce(self);
    this->members->set_configuration_version(this->configuration->version());
}

void node_parts::apply_configuration()
{
    auto const in_force = this->configured.current();
    this->executor.set_drained(
        in_force->is_drained(this->settings.domain, this->settings.name));
    if (auto const * const service = in_force->find(this->settings.service))
    {
        this->ownership.set_window(service->idempotency_window);
        this->executor.set_bounds(service->hedge_share,
                                  service->measurements_per_second);
    }
}

bool node_parts::takes_work(target_status const & target) const
{
    bool const is_fresh =
        this->time.now() - target.heard < announcement_lifetime;
    bool const is_up = target.phase == target_phase::cold ||
                       target.phase == target_phase::ready;
    absl::MutexLock lock(&this->mutex);
    return is_fresh && is_up && !this->leaving;
}

void node_parts::stop_self_check()
{
    {
        absl::MutexLock lock(&this->mutex);
        this->stopping = true;
    }
    if (this->self_check.joinable())
    {
        this->self_check.join();
    }
}

} // namespace endivehinge::detail

#include <endivehinge/detail/node/node.hpp>

#include <thread>  // thread
#include <utility> // move

#include <absl/synchronization/mutex.h> // Mutex
#include <absl/time/clock.h>            // SleepFor
#include <absl/time/time.h>             // Milliseconds

#include <endivehinge/detail/http/http_client.hpp>
#include <endivehinge/detail/http/http_server.hpp>
#include <endivehinge/detail/log/log.hpp>
#include <endivehinge/detail/node/admin_handler.hpp>
#include <endivehinge/detail/node/configuration_holder.hpp>
#include <endivehinge/detail/node/configuration_watcher.hpp>
#include <endivehinge/detail/node/execution_log.hpp>
#include <endivehinge/detail/node/ingress_handler.hpp>
#include <endivehinge/detail/node/local_executor.hpp>
#include <endivehinge/detail/node/peer_handler.hpp>
#include <endivehinge/detail/node/platform_directory.hpp>
#include <endivehinge/detail/node/quarantine_board.hpp>
#include <endivehinge/detail/node/remote_executor.hpp>
#include <endivehinge/detail/node/request_id_source.hpp>
#include <endivehinge/detail/node/request_router.hpp>
#include <endivehinge/detail/platform/http_object_store.hpp>
#include <endivehinge/policy/load_aware_policy.hpp>

namespace endivehinge::detail
{
namespace
{

constexpr duration platform_timeout = std::chrono::seconds(2);
constexpr duration announcement_lifetime = std::chrono::seconds(3);
constexpr absl::Duration self_check_interval = absl::Milliseconds(100);
// others stop sending to a node that leaves within this time
constexpr absl::Duration leave_notice = absl::Seconds(2);

logger const & log()
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

class node::parts
{
public:
    explicit parts(node_settings const & given)
        : settings(given)
        , run(this_run(this->time))
        , store(given.platform, this->client, platform_timeout)
        , directory(this->store)
        , watcher(this->store, this->configured)
        , log(this->run, this->time)
        , ids(given.name, this->run)
        , quarantine(this->time)
        , executor(given.name, this->client, this->quarantine, this->time)
        , remote(this->client, this->time)
        , router(given.name,
                 given.domain,
                 {this->directory,
                  this->configured,
                  this->executor,
                  this->remote,
                  this->ids,
                  this->policy,
                  this->time})
        , ingress(this->ids, this->configured, this->router, this->time)
        , peers(this->executor, this->log, this->time)
        , admin(this->executor, this->directory, this->configured, this->time)
    {
    }

    ~parts()
    {
        this->stop_self_check();
        this->watcher.stop();
        this->directory.stop();
    }

    parts(parts const &) = delete;
    parts & operator=(parts const &) = delete;

    bool start(failure & reason)
    {
        http_server_limits const limits;
        this->ingress_server = http_server::start(
            this->settings.ingress, this->ingress, limits, reason);
        this->peer_server = http_server::start(
            this->settings.peers, this->peers, limits, reason);
        this->admin_server = http_server::start(
            this->settings.admin, this->admin, limits, reason);
        if (this->ingress_server == nullptr || this->peer_server == nullptr ||
            this->admin_server == nullptr)
        {
            return false;
        }
        this->announce_self();
        this->directory.start();
        this->watcher.start();
        this->self_check = std::thread(&parts::watch_self, this);
        return true;
    }

    node_ports ports() const
    {
        return {this->ingress_server->port(),
                this->peer_server->port(),
                this->settings.control.port,
                this->admin_server->port()};
    }

    bool drain()
    {
        {
            absl::MutexLock lock(&this->mutex);
            this->leaving = true;
        }
        this->ingress_server->close_connections_after_answers();
        absl::SleepFor(leave_notice);
        absl::Duration const patience =
            absl::FromChrono(this->settings.shutdown_deadline);
        bool const callers_done = this->ingress_server->drain(patience);
        this->executor.stop_admitting();
        bool const peers_done = this->peer_server->drain(patience);
        return callers_done && peers_done;
    }

private:
    void announce_self()
    {
        target_status const target = this->executor.status();
        absl::MutexLock lock(&this->mutex);
        member self;
        self.name = this->settings.name;
        self.run = this->run;
        self.service = this->settings.service;
        self.domain = this->settings.domain;
        self.region = this->settings.region;
        self.peer_address = {this->settings.peers.host,
                             this->peer_server->port()};
        self.control_address = this->settings.control;
        self.slots = target.slots;
        bool const is_fresh =
            this->time.now() - target.heard < announcement_lifetime;
        bool const is_up = target.phase == target_phase::cold ||
                           target.phase == target_phase::ready;
        self.accepts_work = is_fresh && is_up && !this->leaving;
        this->directory.announce(self);
    }

    void watch_self()
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

    void stop_self_check()
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

    machine_clock time;
    node_settings settings;
    incarnation run;
    http_client client{http_client_limits()};
    http_object_store store;
    platform_directory directory;
    configuration_holder configured;
    configuration_watcher watcher;
    load_aware_policy policy;
    execution_log log;
    request_id_source ids;
    quarantine_board quarantine;
    local_executor executor;
    remote_executor remote;
    request_router router;
    ingress_handler ingress;
    peer_handler peers;
    admin_handler admin;
    std::unique_ptr<http_server> ingress_server;
    std::unique_ptr<http_server> peer_server;
    std::unique_ptr<http_server> admin_server;
    absl::Mutex mutex;
    bool leaving = false;
    bool stopping = false;
    std::thread self_check;
};

std::unique_ptr<node> node::start(node_settings const & settings,
                                  failure & reason)
{
    auto initial = std::make_unique<parts>(settings);
    if (!initial->start(reason))
    {
        return nullptr;
    }
    log().info("The node serves.", {{"name", settings.name.value()}});
    return std::unique_ptr<node>(new node(std::move(initial)));
}

node::node(std::unique_ptr<parts> initial)
    : all(std::move(initial))
{
}

node::~node() = default;

node_ports node::ports() const
{
    return this->all->ports();
}

bool node::drain()
{
    log().info("The node leaves.");
    return this->all->drain();
}

} // namespace endivehinge::detail

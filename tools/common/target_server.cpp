#include <common/target_server.hpp>

#include <absl/time/clock.h> // GetCurrentTimeNanos

namespace endivehinge::tools
{
namespace
{

constexpr char const * loopback = "127.0.0.1";
constexpr absl::Duration phase_check_interval = absl::Milliseconds(50);
constexpr std::int64_t default_connections = 250;

target_identity read_identity(tool_options const & options)
{
    target_identity identity;
    identity.name = options.text("name", "target");
    identity.history_path = options.text("history", "");
    identity.seed = static_cast<std::uint64_t>(options.number("seed", 1));
    failure reason;
    identity.node = endpoint::parse(options.text("ingress", ""), reason);
    return identity;
}

std::uint32_t connection_limit(tool_options const & options)
{
    return static_cast<std::uint32_t>(
        options.number("connections", default_connections));
}

} // namespace

std::unique_ptr<target_server>
target_server::start(tool_options const & options, failure & reason)
{
    auto const node = endpoint::parse(options.text("node", ""), reason);
    if (!node.has_value())
    {
        return nullptr;
    }
    std::unique_ptr<target_server> started(new target_server(options));
    if (!started->listen(options, reason))
    {
        return nullptr;
    }
    started->announce(options, *node);
    return started;
}

target_server::target_server(tool_options const & options)
    : behaviour(read_behaviour(options))
    , handler(read_identity(options), this->behaviour)
    , control(
          this->behaviour,
          [this]()
          {
              this->on_change();
          },
          [this]()
          {
              return this->handler.report();
          })
    , last_phase(this->behaviour.get().phase)
{
}

target_server::~target_server()
{
    // nothing changes the behaviour after this
    this->control_server.reset();
    this->stop_following();
}

void target_server::stop_following()
{
    {
        absl::MutexLock lock(&this->mutex);
        this->stopping = true;
    }
    if (this->follower.joinable())
    {
        this->follower.join();
    }
}

std::uint16_t target_server::port() const
{
    return this->server->port();
}

std::uint16_t target_server::control_port() const
{
    return this->control_server->port();
}

bool target_server::drain(absl::Duration patience)
{
    // nothing says another phase after this
    this->stop_following();
    this->said->change_phase("draining");
    return this->server->drain(patience);
}

bool target_server::listen(tool_options const & options, failure & reason)
{
    detail::http_server_limits limits;
    limits.connections = connection_limit(options);
    endpoint const address{
        loopback, static_cast<std::uint16_t>(options.number("port", 0))};
    this->server =
        detail::http_server::start(address, this->handler, limits, reason);
    this->control_server =
        detail::http_server::start({loopback, 0}, this->control, {}, reason);
    return this->server != nullptr && this->control_server != nullptr;
}

void target_server::announce(tool_options const & options,
                             endpoint const & node)
{
    target_announcement first;
    failure reason;
    // a relay may stand before the target
    first.address = endpoint::parse(options.text("announce", ""), reason)
                        .value_or(endpoint{loopback, this->server->port()});
    first.phase = this->handler.phase();
    first.slots = static_cast<std::uint32_t>(this->behaviour.get().slots);
    first.connections = connection_limit(options);
    // a process id may come again; the time of the start does not
    first.run = static_cast<std::uint64_t>(absl::GetCurrentTimeNanos());
    this->said = std::make_unique<announcer>(node, first);
    this->follower = std::thread(&target_server::follow_phase, this);
}

// a cold target becomes ready with time
void target_server::follow_phase()
{
    while (true)
    {
        bool const announces = this->behaviour.get().announces_phase != 0;
        std::string const phase = this->handler.phase();
        absl::MutexLock lock(&this->mutex);
        if (this->stopping)
        {
            return;
        }
        this->said->change_phase(announces ? phase : "ready");
        if (this->mutex.AwaitWithTimeout(absl::Condition(&this->stopping),
                                         phase_check_interval))
        {
            return;
        }
    }
}

void target_server::on_change()
{
    std::string const phase = this->behaviour.get().phase;
    absl::MutexLock lock(&this->mutex);
    if (phase == "cold" && this->last_phase != "cold")
    {
        this->handler.turn_cold();
    }
    this->last_phase = phase;
}

} // namespace endivehinge::tools

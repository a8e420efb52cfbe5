#include <common/platform_server.hpp>

namespace endivehinge::tools
{
namespace
{

constexpr char const * loopback = "127.0.0.1";
constexpr std::size_t most_connections = 4096;

} // namespace

std::unique_ptr<platform_server> platform_server::start(std::uint16_t port,
                                                        failure & reason)
{
    std::unique_ptr<platform_server> started(new platform_server);
    if (!started->listen(port, reason))
    {
        return nullptr;
    }
    started->control_server =
        detail::http_server::start({loopback, 0}, started->control, {}, reason);
    return started->control_server == nullptr ? nullptr : std::move(started);
}

platform_server::platform_server()
    : handler(this->objects, this->behaviour)
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
{
}

std::uint16_t platform_server::port() const
{
    return this->listening_port;
}

std::uint16_t platform_server::control_port() const
{
    return this->control_server->port();
}

bool platform_server::listen(std::uint16_t wanted, failure & reason)
{
    detail::http_server_limits limits;
    limits.connections = most_connections;
    this->server = detail::http_server::start(
        {loopback, wanted}, this->handler, limits, reason);
    if (this->server == nullptr)
    {
        return false;
    }
    this->listening_port = this->server->port();
    return true;
}

// a server that is gone refuses connections; it comes back on the same port
void platform_server::on_change()
{
    absl::MutexLock lock(&this->mutex);
    this->handler.on_change();
    if (this->behaviour.get().outage == "refuse")
    {
        this->server.reset();
        return;
    }
    failure reason;
    if (this->server == nullptr)
    {
        static_cast<void>(this->listen(this->listening_port, reason));
    }
}

} // namespace endivehinge::tools

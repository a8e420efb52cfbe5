#include <common/relay_server.hpp>

#include <netinet/in.h> // sockaddr_in
#include <sys/socket.h> // accept, listen
#include <unistd.h>     // close

#include <algorithm> // remove_if
#include <utility>   // move

namespace endivehinge::tools
{
namespace
{

constexpr char const * loopback = "127.0.0.1";
constexpr int backlog = 128;

int open_listener(std::uint16_t & port)
{
    sockaddr_in local{};
    local.sin_family = AF_INET;
    local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(local);
    int const made = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto * const address = reinterpret_cast<sockaddr *>(&local);
    if (::bind(made, address, size) != 0 || ::listen(made, backlog) != 0 ||
        ::getsockname(made, address, &size) != 0)
    {
        ::close(made);
        return -1;
    }
    port = ntohs(local.sin_port);
    return made;
}

} // namespace

std::unique_ptr<relay_server> relay_server::start(std::string const & to,
                                                  failure & reason)
{
    std::unique_ptr<relay_server> started(new relay_server(to));
    return started->listen(reason) ? std::move(started) : nullptr;
}

relay_server::relay_server(std::string const & to)
    : behaviour(relay_behaviour{to})
    , control(
          this->behaviour,
          [this]()
          {
              this->on_change();
          },
          [this]()
          {
              return this->report();
          })
{
}

relay_server::~relay_server()
{
    // nothing changes the connections after this
    this->control_server.reset();
    ::shutdown(this->listener, SHUT_RDWR);
    if (this->acceptor.joinable())
    {
        this->acceptor.join();
    }
    ::close(this->listener);
}

std::uint16_t relay_server::port() const
{
    return this->listening_port;
}

std::uint16_t relay_server::control_port() const
{
    return this->control_server->port();
}

bool relay_server::listen(failure & reason)
{
    this->control_server =
        detail::http_server::start({loopback, 0}, this->control, {}, reason);
    this->listener = open_listener(this->listening_port);
    if (this->control_server == nullptr || this->listener < 0)
    {
        return false;
    }
    this->acceptor = std::thread(&relay_server::accept_connections, this);
    return true;
}

void relay_server::accept_connections()
{
    while (true)
    {
        int const accepted =
            ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0)
        {
            return;
        }
        this->take(accepted);
    }
}

void relay_server::take(int accepted)
{
    this->drop_ended();
    if (this->behaviour.get().link == "cut")
    {
        ::close(accepted);
        return;
    }
    auto next = std::make_unique<relay_connection>(accepted, this->behaviour);
    absl::MutexLock lock(&this->mutex);
    ++this->accepted_count;
    this->connections.push_back(std::move(next));
}

void relay_server::drop_ended()
{
    absl::MutexLock lock(&this->mutex);
    this->connections.erase(
        std::remove_if(this->connections.begin(),
                       this->connections.end(),
                       [](std::unique_ptr<relay_connection> const & one)
                       {
                           return one->has_ended();
                       }),
        this->connections.end());
}

void relay_server::on_change()
{
    relay_behaviour const now = this->behaviour.get();
    absl::MutexLock lock(&this->mutex);
    bool const silences = now.silence_open_connections > this->silenced;
    this->silenced = now.silence_open_connections;
    for (auto const & connection : this->connections)
    {
        if (silences)
        {
            connection->silence();
        }
        if (now.link == "cut")
        {
            connection->cut();
        }
    }
}

nlohmann::json relay_server::report() const
{
    absl::MutexLock lock(&this->mutex);
    return {{"accepted", this->accepted_count},
            {"held", this->connections.size()}};
}

} // namespace endivehinge::tools

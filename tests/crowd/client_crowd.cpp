#include "client_crowd.hpp"

#include <algorithm> // all_of, min
#include <array>     // array
#include <cerrno>    // EAGAIN, errno

#include <arpa/inet.h>  // htons, inet_addr
#include <poll.h>       // poll
#include <sys/socket.h> // connect, recv, send
#include <unistd.h>     // close

namespace endivehinge::tests
{

using std::chrono::steady_clock;

namespace
{

constexpr std::size_t connects_per_step = 50;
constexpr std::chrono::milliseconds poll_time(10);
// of a client that does not read
constexpr int small_receive_buffer = 4096;
// bytes that a client sends at a time
constexpr std::size_t max_send_bytes = 65536;

} // namespace

client_crowd::~client_crowd()
{
    for (auto const & one : this->clients)
    {
        if (one.socket >= 0)
        {
            ::close(one.socket);
        }
    }
}

void client_crowd::add(std::size_t count,
                       std::string const & host,
                       std::uint16_t port,
                       client_script const & script)
{
    client one;
    one.script = this->scripts.size();
    one.host = host;
    one.port = port;
    this->scripts.push_back(script);
    this->clients.insert(this->clients.end(), count, one);
}

void client_crowd::connect_some()
{
    auto const end =
        std::min(this->clients.size(), this->connected + connects_per_step);
    for (; this->connected < end; ++this->connected)
    {
        auto & one = this->clients[this->connected];
        sockaddr_in remote{};
        remote.sin_family = AF_INET;
        remote.sin_port = htons(one.port);
        remote.sin_addr.s_addr = inet_addr(one.host.c_str());
        one.socket =
            ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        if (!this->scripts[one.script].reads)
        {
            int const bytes = small_receive_buffer;
            ::setsockopt(
                one.socket, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
        }
        bool const is_pending =
            ::connect(one.socket,
                      reinterpret_cast<sockaddr const *>(&remote),
                      sizeof(remote)) == 0 ||
            errno == EINPROGRESS;
        one.closed = !is_pending;
        one.next = steady_clock::now();
    }
}

std::string const & client_crowd::current_text(client const & one) const
{
    auto const & script = this->scripts[one.script];
    if (one.part < 0)
    {
        return script.opening;
    }
    return static_cast<std::size_t>(one.part) < script.parts ? script.part
                                                             : script.closing;
}

std::size_t client_crowd::current_size(client const & one) const
{
    auto const & script = this->scripts[one.script];
    auto const size = this->current_text(one).size();
    bool const is_last_part =
        one.part >= 0 && static_cast<std::size_t>(one.part) + 1 == script.parts;
    return is_last_part ? size - script.missing_bytes : size;
}

void client_crowd::send(client & one)
{
    auto const & script = this->scripts[one.script];
    std::size_t budget = max_send_bytes;
    while (!one.complete && !one.closed && budget > 0 &&
           steady_clock::now() >= one.next)
    {
        auto const size = this->current_size(one);
        auto const length = std::min(size - one.sent, budget);
        auto const written =
            length == 0 ? 0
                        : ::send(one.socket,
                                 this->current_text(one).data() + one.sent,
                                 length,
                                 MSG_NOSIGNAL);
        if (written < 0)
        {
            one.closed = errno != EAGAIN && errno != ENOTCONN;
            return;
        }
        one.sent += static_cast<std::size_t>(written);
        budget -= static_cast<std::size_t>(written);
        if (one.sent == size)
        {
            one.part += 1;
            one.sent = 0;
            one.next = steady_clock::now() + script.pause;
            one.complete = one.part >= 0 &&
                           static_cast<std::size_t>(one.part) > script.parts;
        }
    }
}

void client_crowd::receive(client & one)
{
    static std::array<char, 65536> buffer;
    auto const size = ::recv(one.socket, buffer.data(), buffer.size(), 0);
    one.closed = one.closed || size == 0 || (size < 0 && errno != EAGAIN);
}

void client_crowd::step(std::chrono::milliseconds wait)
{
    this->connect_some();
    std::vector<pollfd> waits;
    auto const now = steady_clock::now();
    for (std::size_t i = 0; i < this->connected; ++i)
    {
        auto const & one = this->clients[i];
        short events = 0;
        if (this->scripts[one.script].reads)
        {
            events |= POLLIN;
        }
        if (!one.complete && now >= one.next)
        {
            events |= POLLOUT;
        }
        waits.push_back({one.closed ? -1 : one.socket, events, 0});
    }
    ::poll(waits.data(), waits.size(), static_cast<int>(wait.count()));
    for (std::size_t i = 0; i < waits.size(); ++i)
    {
        auto & one = this->clients[i];
        if ((waits[i].revents & POLLIN) != 0)
        {
            this->receive(one);
        }
        if ((waits[i].revents & (POLLERR | POLLHUP)) != 0)
        {
            one.closed = true;
        }
        if ((waits[i].revents & POLLOUT) != 0 && !one.closed)
        {
            this->send(one);
        }
        if (one.closed && one.socket >= 0)
        {
            ::close(one.socket);
            one.socket = -1;
        }
    }
}

void client_crowd::run(std::chrono::milliseconds limit,
                       std::function<void()> const & observe)
{
    auto const end = steady_clock::now() + limit;
    auto const is_done = [this]
    {
        return this->connected == this->clients.size() &&
               std::all_of(this->clients.begin(),
                           this->clients.end(),
                           [](client const & one)
                           {
                               return one.complete || one.closed;
                           });
    };
    do
    {
        this->step(poll_time);
        observe();
    } while (steady_clock::now() < end && !is_done());
}

void client_crowd::stay(std::chrono::milliseconds time,
                        std::function<void()> const & observe)
{
    auto const end = steady_clock::now() + time;
    while (steady_clock::now() < end)
    {
        this->step(poll_time);
        observe();
    }
}

bool client_crowd::run_until_closed(std::chrono::milliseconds limit)
{
    auto const end = steady_clock::now() + limit;
    auto const are_closed = [this]
    {
        return this->connected == this->clients.size() &&
               std::all_of(this->clients.begin(),
                           this->clients.end(),
                           [](client const & one)
                           {
                               return one.closed;
                           });
    };
    while (!are_closed() && steady_clock::now() < end)
    {
        this->step(poll_time);
    }
    return are_closed();
}

} // namespace endivehinge::tests

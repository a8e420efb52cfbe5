#include <common/relay_connection.hpp>

#include <arpa/inet.h>   // inet_pton
#include <netinet/in.h>  // sockaddr_in
#include <netinet/tcp.h> // TCP_NODELAY
#include <sys/socket.h>  // connect, recv, send
#include <unistd.h>      // close

#include <array> // array

#include <absl/time/clock.h> // SleepFor

namespace endivehinge::tools
{
namespace
{

constexpr std::size_t buffer_bytes = std::size_t{64} * 1024;
constexpr absl::Duration silent_step = absl::Milliseconds(20);

int connect_to(std::string const & text)
{
    failure reason;
    auto const address = endpoint::parse(text, reason);
    if (!address.has_value())
    {
        return -1;
    }
    sockaddr_in remote{};
    remote.sin_family = AF_INET;
    remote.sin_port = htons(address->port);
    ::inet_pton(AF_INET, address->host.c_str(), &remote.sin_addr);
    int const made = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (::connect(
            made, reinterpret_cast<sockaddr *>(&remote), sizeof(remote)) != 0)
    {
        ::close(made);
        return -1;
    }
    return made;
}

void send_at_once(int socket)
{
    int const on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

bool send_all(int socket, char const * data, std::size_t size)
{
    while (size > 0)
    {
        ssize_t const sent = ::send(socket, data, size, MSG_NOSIGNAL);
        if (sent <= 0)
        {
            return false;
        }
        data += sent;
        size -= static_cast<std::size_t>(sent);
    }
    return true;
}

} // namespace

relay_connection::relay_connection(int accepted,
                                   behaviour_holder<relay_behaviour> & link)
    : near_socket(accepted)
    , far_socket(connect_to(link.get().to))
    , holder(link)
{
    send_at_once(this->near_socket);
    send_at_once(this->far_socket);
    this->forth = std::thread(
        &relay_connection::pump, this, this->near_socket, this->far_socket);
    this->back = std::thread(
        &relay_connection::pump, this, this->far_socket, this->near_socket);
}

relay_connection::~relay_connection()
{
    this->cut();
    this->forth.join();
    this->back.join();
    ::close(this->near_socket);
    ::close(this->far_socket);
}

void relay_connection::cut()
{
    this->closing = true;
    ::shutdown(this->near_socket, SHUT_RDWR);
    ::shutdown(this->far_socket, SHUT_RDWR);
}

void relay_connection::silence()
{
    this->silent = true;
}

bool relay_connection::has_ended() const
{
    return this->running_ways == 0;
}

void relay_connection::pump(int from, int to)
{
    std::array<char, buffer_bytes> buffer{};
    while (true)
    {
        ssize_t const got = ::recv(from, buffer.data(), buffer.size(), 0);
        if (!this->wait_to_pass())
        {
            break;
        }
        if (got <= 0)
        {
            // an end that the other side must see
            ::shutdown(to, got == 0 ? SHUT_WR : SHUT_RDWR);
            break;
        }
        if (!send_all(to, buffer.data(), static_cast<std::size_t>(got)))
        {
            ::shutdown(from, SHUT_RDWR);
            break;
        }
    }
    --this->running_ways;
}

// whether what came in may go on; a silent connection holds it, ends too
bool relay_connection::wait_to_pass() const
{
    absl::SleepFor(absl::Milliseconds(this->holder.get().delay_ms));
    while (!this->closing)
    {
        if (!this->silent && this->holder.get().link != "silent")
        {
            return true;
        }
        absl::SleepFor(silent_step);
    }
    return false;
}

} // namespace endivehinge::tools

#include <endivehinge/detail/membership/datagram_socket.hpp>

#include <array>   // array
#include <cerrno>  // errno
#include <cstring> // strerror
#include <utility> // move

#include <arpa/inet.h>  // inet_ntop, inet_pton
#include <fcntl.h>      // fcntl
#include <netinet/in.h> // sockaddr_in, sockaddr_in6
#include <poll.h>       // poll
#include <sys/socket.h> // bind, recvfrom, sendto, socket
#include <unistd.h>     // close

namespace endivehinge::detail
{
namespace
{

// larger than any valid datagram, so that an oversized one is seen as such
constexpr std::size_t buffer_bytes = 2048;

struct socket_address
{
    sockaddr_storage storage{};
    socklen_t size = sizeof(sockaddr_storage);

    sockaddr * raw()
    {
        return reinterpret_cast<sockaddr *>(&this->storage);
    }

    sockaddr_in & v4()
    {
        return reinterpret_cast<sockaddr_in &>(this->storage);
    }

    sockaddr_in6 & v6()
    {
        return reinterpret_cast<sockaddr_in6 &>(this->storage);
    }
};

std::optional<socket_address> to_socket_address(endpoint const & source)
{
    socket_address target;
    if (inet_pton(AF_INET, source.host.c_str(), &target.v4().sin_addr) == 1)
    {
        target.v4().sin_family = AF_INET;
        target.v4().sin_port = htons(source.port);
        target.size = sizeof(sockaddr_in);
        return target;
    }
    if (inet_pton(AF_INET6, source.host.c_str(), &target.v6().sin6_addr) == 1)
    {
        target.v6().sin6_family = AF_INET6;
        target.v6().sin6_port = htons(source.port);
        target.size = sizeof(sockaddr_in6);
        return target;
    }
    return std::nullopt;
}

endpoint to_endpoint(socket_address & source)
{
    std::array<char, INET6_ADDRSTRLEN> text{};
    bool const is_v4 = source.storage.ss_family == AF_INET;
    void const * const address =
        is_v4 ? static_cast<void const *>(&source.v4().sin_addr)
              : static_cast<void const *>(&source.v6().sin6_addr);
    inet_ntop(source.storage.ss_family, address, text.data(), text.size());
    std::uint16_t const port =
        is_v4 ? source.v4().sin_port : source.v6().sin6_port;
    return {text.data(), ntohs(port)};
}

std::unique_ptr<datagram_socket> refuse(endpoint const & address,
                                        failure & reason)
{
    reason = {failure_id::invalid_settings,
              "bind UDP",
              address.to_string(),
              std::strerror(errno)};
    return nullptr;
}

} // namespace

std::unique_ptr<datagram_socket> datagram_socket::bind(endpoint const & address,
                                                       failure & reason)
{
    auto wanted = to_socket_address(address);
    if (!wanted.has_value())
    {
        errno = EINVAL;
        return refuse(address, reason);
    }
    int const family = wanted->storage.ss_family;
    int const opened =
        ::socket(family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (opened < 0)
    {
        return refuse(address, reason);
    }
    socket_address real;
    if (::bind(opened, wanted->raw(), wanted->size) != 0 ||
        ::getsockname(opened, real.raw(), &real.size) != 0)
    {
        auto failed = refuse(address, reason);
        ::close(opened);
        return failed;
    }
    return std::unique_ptr<datagram_socket>(new datagram_socket(
        opened, family, {address.host, to_endpoint(real).port}));
}

datagram_socket::datagram_socket(int opened, int domain, endpoint where)
    : descriptor(opened)
    , family(domain)
    , bound(std::move(where))
    , buffer(buffer_bytes, '\0')
{
}

datagram_socket::~datagram_socket()
{
    ::close(this->descriptor);
}

endpoint const & datagram_socket::address() const
{
    return this->bound;
}

bool datagram_socket::send(endpoint const & to, std::string const & bytes)
{
    auto target = to_socket_address(to);
    if (!target.has_value() || target->storage.ss_family != this->family)
    {
        return false;
    }
    ssize_t const sent = ::sendto(this->descriptor,
                                  bytes.data(),
                                  bytes.size(),
                                  MSG_NOSIGNAL,
                                  target->raw(),
                                  target->size);
    return sent == static_cast<ssize_t>(bytes.size());
}

std::optional<received_datagram> datagram_socket::receive(duration patience)
{
    auto const wait =
        std::chrono::duration_cast<std::chrono::milliseconds>(patience);
    pollfd waiting{this->descriptor, POLLIN, 0};
    if (::poll(&waiting, 1, static_cast<int>(wait.count())) <= 0)
    {
        return std::nullopt;
    }
    socket_address from;
    ssize_t const size = ::recvfrom(this->descriptor,
                                    this->buffer.data(),
                                    this->buffer.size(),
                                    0,
                                    from.raw(),
                                    &from.size);
    if (size < 0)
    {
        return std::nullopt;
    }
    return received_datagram{
        to_endpoint(from),
        this->buffer.substr(0, static_cast<std::size_t>(size))};
}

} // namespace endivehinge::detail

#ifndef ENDIVEHINGE_BENCHMARKS_SUPPORT_TCP_ECHO_HPP
#define ENDIVEHINGE_BENCHMARKS_SUPPORT_TCP_ECHO_HPP

#include <cstddef> // size_t
#include <cstdint> // uint16_t
#include <string>  // string
#include <thread>  // thread
#include <vector>  // vector

#include <arpa/inet.h>   // htons
#include <netinet/in.h>  // sockaddr_in
#include <netinet/tcp.h> // TCP_NODELAY
#include <sys/socket.h>  // socket
#include <unistd.h>      // close

#include <absl/synchronization/mutex.h> // Mutex

namespace endivehinge::benchmarks
{

/// @brief sends or receives exactly that many bytes
inline bool transfer_all(int socket, char * data, std::size_t size, bool send)
{
    std::size_t done = 0;
    while (done < size)
    {
        ssize_t const step =
            send ? ::send(socket, data + done, size - done, MSG_NOSIGNAL)
                 : ::recv(socket, data + done, size - done, 0);
        if (step <= 0)
        {
            return false;
        }
        done += static_cast<std::size_t>(step);
    }
    return true;
}

/// @brief turns off the coalescing of small segments
inline void send_at_once(int socket)
{
    int const on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

/// @brief the floor of every comparison: blocking sockets, no protocol
class tcp_echo_server
{
public:
    /// @param size bytes of each message
    explicit tcp_echo_server(std::size_t size)
        : message_bytes(size)
    {
        this->listener = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(address);
        auto * const generic = reinterpret_cast<sockaddr *>(&address);
        ::bind(this->listener, generic, length);
        ::listen(this->listener, SOMAXCONN);
        ::getsockname(this->listener, generic, &length);
        this->bound_port = ntohs(address.sin_port);
        this->acceptor = std::thread(&tcp_echo_server::accept_all, this);
    }

    ~tcp_echo_server()
    {
        ::shutdown(this->listener, SHUT_RDWR);
        this->acceptor.join();
        for (auto & worker : this->workers)
        {
            worker.join();
        }
        ::close(this->listener);
    }

    tcp_echo_server(tcp_echo_server const &) = delete;
    tcp_echo_server & operator=(tcp_echo_server const &) = delete;

    [[nodiscard]] std::uint16_t port() const
    {
        return this->bound_port;
    }

private:
    void accept_all()
    {
        while (true)
        {
            int const peer = ::accept(this->listener, nullptr, nullptr);
            if (peer < 0)
            {
                return;
            }
            this->workers.emplace_back(&tcp_echo_server::echo, this, peer);
        }
    }

    void echo(int peer) const
    {
        send_at_once(peer);
        std::string buffer(this->message_bytes, '\0');
        while (transfer_all(peer, buffer.data(), buffer.size(), false) &&
               transfer_all(peer, buffer.data(), buffer.size(), true))
        {
        }
        ::close(peer);
    }

    std::size_t message_bytes;
    int listener = -1;
    std::uint16_t bound_port = 0;
    std::thread acceptor;
    std::vector<std::thread> workers;
};

/// @brief one connection to the echo server
class tcp_echo_client
{
public:
    tcp_echo_client(std::uint16_t port, std::size_t size)
        : buffer(size, 'x')
    {
        this->connection = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(port);
        ::connect(this->connection,
                  reinterpret_cast<sockaddr *>(&address),
                  sizeof(address));
        send_at_once(this->connection);
    }

    ~tcp_echo_client()
    {
        ::close(this->connection);
    }

    tcp_echo_client(tcp_echo_client const &) = delete;
    tcp_echo_client & operator=(tcp_echo_client const &) = delete;

    [[nodiscard]] bool exchange()
    {
        char * const data = this->buffer.data();
        return transfer_all(
                   this->connection, data, this->buffer.size(), true) &&
               transfer_all(this->connection, data, this->buffer.size(), false);
    }

private:
    std::string buffer;
    int connection = -1;
};

} // namespace endivehinge::benchmarks

#endif

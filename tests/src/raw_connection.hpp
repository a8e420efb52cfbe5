#ifndef ENDIVEHINGE_TESTS_RAW_CONNECTION_HPP
#define ENDIVEHINGE_TESTS_RAW_CONNECTION_HPP

#include <arpa/inet.h>  // htons
#include <netinet/in.h> // sockaddr_in
#include <sys/socket.h> // connect, send
#include <sys/time.h>   // timeval
#include <unistd.h>     // close

#include <array>   // array
#include <cerrno>  // errno
#include <cstdint> // uint16_t
#include <string>  // string

namespace endivehinge::tests
{

/// @brief a connection that sends any bytes to a port of this machine
class raw_connection
{
public:
    explicit raw_connection(std::uint16_t port)
        : socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in const remote = loopback(port);
        this->connected = ::connect(this->socket,
                                    reinterpret_cast<sockaddr const *>(&remote),
                                    sizeof(remote)) == 0;
        timeval const patience{read_patience_s, 0};
        ::setsockopt(
            this->socket, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof(patience));
        ::setsockopt(
            this->socket, SOL_SOCKET, SO_SNDTIMEO, &patience, sizeof(patience));
    }

    raw_connection(raw_connection const &) = delete;
    raw_connection & operator=(raw_connection const &) = delete;

    ~raw_connection()
    {
        ::close(this->socket);
    }

    bool is_connected() const
    {
        return this->connected;
    }

    // as much as the peer takes; it may close before the end
    void send(std::string const & bytes) const
    {
        std::size_t sent = 0;
        while (sent < bytes.size())
        {
            ssize_t const step = ::send(this->socket,
                                        bytes.data() + sent,
                                        bytes.size() - sent,
                                        MSG_NOSIGNAL);
            if (step <= 0)
            {
                return;
            }
            sent += static_cast<std::size_t>(step);
        }
    }

    void half_close() const
    {
        ::shutdown(this->socket, SHUT_WR);
    }

    // what comes until the peer closes
    // @return whether it closed
    bool read_until_closed(std::string & reply) const
    {
        std::array<char, 65536> buffer{};
        while (true)
        {
            ssize_t const got =
                ::recv(this->socket, buffer.data(), buffer.size(), 0);
            if (got <= 0)
            {
                // a reset is an end, a timeout is none
                return got == 0 || errno != EAGAIN;
            }
            reply.append(buffer.data(), static_cast<std::size_t>(got));
        }
    }

    static sockaddr_in loopback(std::uint16_t port)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

private:
    // above the idle timeout of a node's servers
    static constexpr time_t read_patience_s = 45;

    int socket;
    bool connected = false;
};

} // namespace endivehinge::tests

#endif

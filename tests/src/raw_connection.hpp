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

/// @brief TCP connection to a local port that sends arbitrary bytes
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
        timeval const timeout{io_timeout_s, 0};
        ::setsockopt(
            this->socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
        ::setsockopt(
            this->socket, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
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

    // sends until the peer closes the connection or a send times out
    void send(std::string const & bytes) const
    {
        std::size_t sent = 0;
        while (sent < bytes.size())
        {
            ssize_t const written = ::send(this->socket,
                                           bytes.data() + sent,
                                           bytes.size() - sent,
                                           MSG_NOSIGNAL);
            if (written <= 0)
            {
                return;
            }
            sent += static_cast<std::size_t>(written);
        }
    }

    void half_close() const
    {
        ::shutdown(this->socket, SHUT_WR);
    }

    // reads until the peer closes the connection
    // @return whether it was closed or reset before the receive timeout
    bool read_until_closed(std::string & reply) const
    {
        std::array<char, 65536> buffer{};
        while (true)
        {
            ssize_t const received =
                ::recv(this->socket, buffer.data(), buffer.size(), 0);
            if (received <= 0)
            {
                // a reset counts as closed, a timeout does not
                return received == 0 || errno != EAGAIN;
            }
            reply.append(buffer.data(), static_cast<std::size_t>(received));
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
    // longer than the idle timeout of the node's listeners
    static constexpr time_t io_timeout_s = 45;

    int socket;
    bool connected = false;
};

} // namespace endivehinge::tests

#endif

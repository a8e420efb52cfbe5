#ifndef ENDIVEHINGE_TESTS_SCRIPTED_SERVER_HPP
#define ENDIVEHINGE_TESTS_SCRIPTED_SERVER_HPP

#include <atomic>  // atomic
#include <cstdint> // uint16_t
#include <string>  // string
#include <thread>  // thread
#include <utility> // move
#include <vector>  // vector

#include <netinet/in.h> // sockaddr_in
#include <sys/socket.h> // socket
#include <unistd.h>     // close

namespace endivehinge::tests
{

/// @brief what one connection gets: a response for each request, then its end
using connection_script = std::vector<std::string>;

/// @brief answers the bytes of a script, whatever was asked
class scripted_server
{
public:
    /// @param script one entry a connection, in the order in which they come
    explicit scripted_server(std::vector<connection_script> script)
        : connections(std::move(script))
        , listener(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(address);
        auto * const generic = reinterpret_cast<sockaddr *>(&address);
        ::bind(this->listener, generic, length);
        ::listen(this->listener, SOMAXCONN);
        ::getsockname(this->listener, generic, &length);
        this->bound_port = ntohs(address.sin_port);
        this->worker = std::thread(&scripted_server::run, this);
    }

    ~scripted_server()
    {
        ::shutdown(this->listener, SHUT_RDWR);
        this->worker.join();
        ::close(this->listener);
    }

    scripted_server(scripted_server const &) = delete;
    scripted_server & operator=(scripted_server const &) = delete;

    std::uint16_t port() const
    {
        return this->bound_port;
    }

    int requests() const
    {
        return this->seen;
    }

private:
    void run()
    {
        for (auto const & script : this->connections)
        {
            int const peer = ::accept(this->listener, nullptr, nullptr);
            if (peer < 0)
            {
                return;
            }
            this->serve(peer, script);
            ::close(peer);
        }
    }

    void serve(int peer, connection_script const & script)
    {
        char buffer[4096];
        for (auto const & response : script)
        {
            if (::recv(peer, buffer, sizeof(buffer), 0) <= 0)
            {
                return;
            }
            ++this->seen;
            ::send(peer, response.data(), response.size(), MSG_NOSIGNAL);
        }
    }

    std::vector<connection_script> connections;
    int listener;
    std::uint16_t bound_port = 0;
    std::atomic<int> seen{0};
    std::thread worker;
};

} // namespace endivehinge::tests

#endif

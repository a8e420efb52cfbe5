#ifndef ENDIVEHINGE_DETAIL_MEMBERSHIP_DATAGRAM_SOCKET_HPP
#define ENDIVEHINGE_DETAIL_MEMBERSHIP_DATAGRAM_SOCKET_HPP

#include <memory>   // unique_ptr
#include <optional> // optional
#include <string>   // string

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/endpoint.hpp>
#include <endivehinge/core/failure.hpp>

namespace endivehinge::detail
{

/// @brief a datagram and where it came from
struct received_datagram
{
    endpoint from;
    std::string bytes;
};

/// @brief a bound UDP socket that never blocks on sending
class datagram_socket
{
public:
    /// @brief binds a socket
    /// @param address an IP address; port 0 takes a free one
    /// @param reason why it could not be bound
    [[nodiscard]] static std::unique_ptr<datagram_socket>
    bind(endpoint const & address, failure & reason);

    datagram_socket(datagram_socket const &) = delete;
    datagram_socket & operator=(datagram_socket const &) = delete;
    ~datagram_socket();

    /// @brief where it is bound, with the real port
    /// @note thread safety: any thread
    [[nodiscard]] endpoint const & address() const;

    /// @brief sends a datagram, or drops it where the system would block
    /// @return whether the system took it
    /// @note thread safety: any thread
    [[nodiscard]] bool send(endpoint const & to, std::string const & bytes);

    /// @brief the next datagram
    /// @param patience how long to wait where there is none
    /// @note thread safety: one thread
    [[nodiscard]] std::optional<received_datagram> receive(duration patience);

private:
    datagram_socket(int descriptor, int family, endpoint bound);

    int descriptor;
    int family;
    endpoint bound;
    std::string buffer;
};

} // namespace endivehinge::detail

#endif

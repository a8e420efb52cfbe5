#ifndef ENDIVEHINGE_CORE_ENDPOINT_HPP
#define ENDIVEHINGE_CORE_ENDPOINT_HPP

#include <cstdint>  // uint16_t
#include <optional> // optional
#include <string>   // string
#include <utility>  // move

#include <endivehinge/core/failure.hpp>

namespace endivehinge
{

/// @brief an IP address and a port
struct endpoint
{
    std::string host;
    std::uint16_t port = 0;

    /// @brief `host:port`, with brackets around an IPv6 address
    [[nodiscard]] std::string to_string() const;

    /// @brief reads `host:port`; the host is an IP address, never a name
    /// @param text the form that to_string writes
    /// @param reason why it could not be read
    [[nodiscard]] static std::optional<endpoint> parse(std::string const & text,
                                                       failure & reason);

    friend bool operator==(endpoint const & a, endpoint const & b)
    {
        return a.port == b.port && a.host == b.host;
    }

    friend bool operator!=(endpoint const & a, endpoint const & b)
    {
        return !(a == b);
    }

    template <class Hash>
    friend Hash AbslHashValue(Hash state, endpoint const & e) // NOLINT
    {
        return Hash::combine(std::move(state), e.host, e.port);
    }
};

} // namespace endivehinge

#endif

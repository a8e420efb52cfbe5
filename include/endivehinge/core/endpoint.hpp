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

    /// @brief formats as `host:port`, with brackets around an IPv6 address
    [[nodiscard]] std::string to_string() const;

    /// @brief parses `host:port`; the host must be an IP address, not a name
    /// @param text the address in the format of to_string
    /// @param reason receives the error if the text cannot be parsed
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

#ifndef ENDIVEHINGE_POLICY_CLIENT_LIMITS_HPP
#define ENDIVEHINGE_POLICY_CLIENT_LIMITS_HPP

#include <cstdint> // uint32_t, uint64_t

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief size and time limits of a client connection
struct client_limits
{
    std::uint32_t header_bytes = 0;
    std::uint64_t body_bytes = 0;
    duration header_timeout{0};
    duration idle_timeout{0};
};

} // namespace endivehinge

#endif

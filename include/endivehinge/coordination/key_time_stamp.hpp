#ifndef ENDIVEHINGE_COORDINATION_KEY_TIME_STAMP_HPP
#define ENDIVEHINGE_COORDINATION_KEY_TIME_STAMP_HPP

#include <optional> // optional

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/ids.hpp>

namespace endivehinge
{

/// @brief the creation time of a key, by its caller's clock
/// @return nothing unless the key is a version 7 UUID (RFC 9562)
/// @note pure; thread safety: any thread
[[nodiscard]] std::optional<wall_time>
time_stamp_of(idempotency_key const & key);

} // namespace endivehinge

#endif

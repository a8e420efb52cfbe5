#ifndef ENDIVEHINGE_COORDINATION_STABLE_DIGEST_HPP
#define ENDIVEHINGE_COORDINATION_STABLE_DIGEST_HPP

#include <cstdint> // uint64_t

#include <absl/strings/string_view.h> // string_view

namespace endivehinge
{

/// @brief a digest that is the same in every process and every build
/// @note pure; thread safety: any thread
[[nodiscard]] std::uint64_t stable_digest(absl::string_view text);

/// @brief spreads the bits of a number over the whole range
/// @note pure; thread safety: any thread
[[nodiscard]] std::uint64_t mix_bits(std::uint64_t value);

} // namespace endivehinge

#endif

#ifndef ENDIVEHINGE_CORE_STABLE_HASH_HPP
#define ENDIVEHINGE_CORE_STABLE_HASH_HPP

#include <cstdint>     // uint64_t
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

namespace endivehinge
{

/// @brief hashes a text to a value that is the same in every process, unlike
///        absl::Hash
/// @param seed the hash of the preceding parts; chaining hashes this way keeps
///        the boundaries between parts significant
/// @note pure; thread safety: any thread
[[nodiscard]] std::uint64_t stable_hash(std::string const & text,
                                        std::uint64_t seed = 0);

/// @brief hashes the text that consists of these parts
/// @return the same as for the whole text, whatever its parts
/// @note pure; thread safety: any thread
[[nodiscard]] std::uint64_t
stable_hash(std::vector<std::string_view> const & parts, std::uint64_t seed);

/// @brief hashes a number in the same way
/// @note pure; thread safety: any thread
[[nodiscard]] std::uint64_t stable_hash(std::uint64_t number,
                                        std::uint64_t seed = 0);

} // namespace endivehinge

#endif

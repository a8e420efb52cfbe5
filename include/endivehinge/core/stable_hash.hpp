#ifndef ENDIVEHINGE_CORE_STABLE_HASH_HPP
#define ENDIVEHINGE_CORE_STABLE_HASH_HPP

#include <cstdint> // uint64_t
#include <string>  // string

namespace endivehinge
{

/// @brief hashes a text to a value that is the same in every process, unlike
///        absl::Hash
/// @param seed the hash of the preceding parts; chaining hashes this way keeps
///        the boundaries between parts significant
/// @note pure; thread safety: any thread
[[nodiscard]] std::uint64_t stable_hash(std::string const & text,
                                        std::uint64_t seed = 0);

/// @brief hashes a number in the same way
/// @note pure; thread safety: any thread
[[nodiscard]] std::uint64_t stable_hash(std::uint64_t number,
                                        std::uint64_t seed = 0);

} // namespace endivehinge

#endif

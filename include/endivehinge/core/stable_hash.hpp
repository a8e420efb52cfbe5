#ifndef ENDIVEHINGE_CORE_STABLE_HASH_HPP
#define ENDIVEHINGE_CORE_STABLE_HASH_HPP

#include <cstdint> // uint64_t
#include <string>  // string

namespace endivehinge
{

/// @brief a hash of a text that is the same in every process, as absl::Hash
///        is not
/// @param seed a hash so far; parts that are hashed one after the other
///        cannot run together
/// @note pure; thread safety: any thread
[[nodiscard]] std::uint64_t stable_hash(std::string const & text,
                                        std::uint64_t seed = 0);

/// @brief the same of a number
/// @note pure; thread safety: any thread
[[nodiscard]] std::uint64_t stable_hash(std::uint64_t number,
                                        std::uint64_t seed = 0);

} // namespace endivehinge

#endif

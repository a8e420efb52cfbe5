#ifndef ENDIVEHINGE_COORDINATION_OUTCOME_SIZE_HPP
#define ENDIVEHINGE_COORDINATION_OUTCOME_SIZE_HPP

#include <cstddef> // size_t

#include <endivehinge/core/outcome.hpp>

namespace endivehinge
{

/// @brief the size of the text in a stored outcome, in bytes
/// @note pure; thread safety: any thread
[[nodiscard]] std::size_t size_in_bytes(outcome const & stored);

} // namespace endivehinge

#endif

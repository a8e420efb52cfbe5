#ifndef ENDIVEHINGE_DETAIL_GATEWAY_MESSAGE_MEMORY_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_MESSAGE_MEMORY_HPP

#include <cstddef> // size_t

#include <endivehinge/detail/gateway/http_types.hpp>

namespace endivehinge::detail
{

/// @brief the memory of the start line and the fields of a message, in bytes
/// @note thread safety: any thread
[[nodiscard]] std::size_t memory_of(header_fields const & fields);

} // namespace endivehinge::detail

#endif

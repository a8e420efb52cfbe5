#ifndef ENDIVEHINGE_DETAIL_GATEWAY_RESPONSE_MEMORY_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_RESPONSE_MEMORY_HPP

#include <cstddef>  // size_t
#include <cstdint>  // uint64_t
#include <optional> // optional

#include <absl/container/flat_hash_map.h> // flat_hash_map

#include <endivehinge/core/strong_type.hpp>

namespace endivehinge::detail
{

/// @brief identifies a response that is being received
using response_id = strong_type<struct response_id_tag, std::uint64_t>;

/// @brief bounds the memory of all responses that a process is receiving
///
/// Load pattern: targets in trouble send bytes without end on many connections
/// at once. The largest response is given up first, so that those of ordinary
/// size still arrive.
/// @note pure; not thread-safe, the owner serialises all calls
class response_memory
{
public:
    /// @param limit in bytes
    explicit response_memory(std::size_t limit);

    /// @brief an identifier for a further response
    [[nodiscard]] response_id next_id();

    /// @brief sets the memory that a response occupies
    /// @return the response to give up, if the limit is exceeded
    [[nodiscard]] std::optional<response_id> resize(response_id response,
                                                    std::size_t bytes);

    /// @brief records that a response is complete or was given up
    void release(response_id response);

    /// @brief memory of all responses, in bytes
    [[nodiscard]] std::size_t total() const;

private:
    std::size_t max_bytes;
    std::size_t sum = 0;
    std::uint64_t last_id = 0;
    absl::flat_hash_map<response_id, std::size_t> sizes;
};

} // namespace endivehinge::detail

#endif

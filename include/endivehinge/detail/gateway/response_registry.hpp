#ifndef ENDIVEHINGE_DETAIL_GATEWAY_RESPONSE_REGISTRY_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_RESPONSE_REGISTRY_HPP

#include <functional> // function

#include <absl/container/flat_hash_map.h> // flat_hash_map

#include <endivehinge/detail/gateway/response_memory.hpp>

namespace endivehinge::detail
{

/// @brief gives up responses that response_memory selects
/// @note thread safety: none; used on the event loop only
class response_registry
{
public:
    /// @param limit in bytes, of all responses in progress
    explicit response_registry(std::size_t limit);

    /// @brief adds a response
    /// @param give_up fails the response; must not call resize()
    [[nodiscard]] response_id add(std::function<void()> give_up);

    /// @brief sets the memory of a response; may give up this or another one
    void resize(response_id response, std::size_t bytes);

    /// @brief removes a response that is complete or was given up
    void remove(response_id response);

    /// @brief memory of all responses, in bytes
    [[nodiscard]] std::size_t total() const;

private:
    response_memory memory;
    absl::flat_hash_map<response_id, std::function<void()>> actions;
};

} // namespace endivehinge::detail

#endif

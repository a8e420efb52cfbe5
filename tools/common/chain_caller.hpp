#ifndef ENDIVEHINGE_TOOLS_COMMON_CHAIN_CALLER_HPP
#define ENDIVEHINGE_TOOLS_COMMON_CHAIN_CALLER_HPP

#include <optional> // optional

#include <absl/time/time.h> // Time

#include <common/request_marks.hpp>
#include <endivehinge/core/endpoint.hpp>
#include <endivehinge/detail/http/http_client.hpp>

namespace endivehinge::tools
{

/// @brief calls the next service of a chain through the target's own node
/// @note thread safety: any thread
class chain_caller
{
public:
    /// @param ingress of the node beside; nothing: chains are not called
    explicit chain_caller(std::optional<endpoint> ingress);

    /// @brief calls the first service of the chain, which calls the rest
    /// @param above the request that makes the call; its depth and priority
    ///        go along
    /// @param deadline what is left until then goes along
    /// @return whether the chain is empty or was answered with success
    [[nodiscard]] bool call(http_request const & above,
                            request_marks const & marks,
                            absl::Time deadline);

private:
    std::optional<endpoint> node;
    detail::http_client client{detail::http_client_limits()};
};

} // namespace endivehinge::tools

#endif

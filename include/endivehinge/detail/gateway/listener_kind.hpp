#ifndef ENDIVEHINGE_DETAIL_GATEWAY_LISTENER_KIND_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_LISTENER_KIND_HPP

#include <cstddef> // size_t

namespace endivehinge::detail
{

/// @brief the listeners of a node
enum class listener_kind
{
    clients,
    nodes,
    readiness,
    reports,
    metrics,
};

constexpr std::size_t listener_kind_count = 5;

/// @brief the name of a listener in log lines
[[nodiscard]] char const * to_string(listener_kind kind);

} // namespace endivehinge::detail

#endif

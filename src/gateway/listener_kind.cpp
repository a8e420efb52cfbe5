#include <endivehinge/detail/gateway/listener_kind.hpp>

namespace endivehinge::detail
{

char const * to_string(listener_kind kind)
{
    switch (kind)
    {
    case listener_kind::clients:
        return "clients";
    case listener_kind::nodes:
        return "nodes";
    case listener_kind::readiness:
        return "readiness";
    case listener_kind::reports:
        return "reports";
    case listener_kind::metrics:
        break;
    }
    return "metrics";
}

} // namespace endivehinge::detail

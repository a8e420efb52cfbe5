#include <endivehinge/detail/gateway/client_limit.hpp>

namespace endivehinge::detail
{

char const * to_string(client_limit limit)
{
    switch (limit)
    {
    case client_limit::connections:
        return "connections";
    case client_limit::memory:
        return "memory";
    case client_limit::large_memory:
        return "large_memory";
    case client_limit::message_time:
        return "message_time";
    case client_limit::write_time:
        return "write_time";
    case client_limit::discarded:
        break;
    }
    return "discarded";
}

} // namespace endivehinge::detail

#include <endivehinge/core/request.hpp>

namespace endivehinge
{

char const * to_string(priority urgency)
{
    switch (urgency)
    {
    case priority::internal_check:
        return "internal_check";
    case priority::interactive:
        return "interactive";
    case priority::batch:
        return "batch";
    }
    return "interactive";
}

} // namespace endivehinge

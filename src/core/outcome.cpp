#include <endivehinge/core/outcome.hpp>

#include <utility> // move

namespace endivehinge
{

char const * to_string(outcome_kind kind)
{
    switch (kind)
    {
    case outcome_kind::answered:
        return "answered";
    case outcome_kind::rejected:
        return "rejected";
    case outcome_kind::indeterminate:
        return "indeterminate";
    }
    return "indeterminate";
}

outcome outcome::answered(http_response answer)
{
    outcome result;
    result.kind = outcome_kind::answered;
    result.answer = std::move(answer);
    return result;
}

outcome outcome::rejected(failure reason, duration retry_after)
{
    outcome result;
    result.kind = outcome_kind::rejected;
    result.reason = std::move(reason);
    result.retry_after = retry_after;
    return result;
}

outcome outcome::indeterminate(failure reason)
{
    outcome result;
    result.kind = outcome_kind::indeterminate;
    result.reason = std::move(reason);
    return result;
}

} // namespace endivehinge

#include <endivehinge/policy/retry_budget.hpp>

#include <algorithm> // max, min

namespace endivehinge
{

retry_budget::retry_budget(double retry_ratio, double max_burst)
    : tokens_per_attempt(retry_ratio)
    , max_tokens(max_burst)
    , tokens(max_burst)
{
}

// A caller's retry cannot be refused here, so it is charged to the budget.
void retry_budget::record_request(attempt_origin origin)
{
    if (origin == attempt_origin::caller_retry)
    {
        this->tokens = std::max(this->tokens - 1, 0.0);
        return;
    }
    this->tokens =
        std::min(this->tokens + this->tokens_per_attempt, this->max_tokens);
}

bool retry_budget::try_spend()
{
    if (this->tokens < 1)
    {
        return false;
    }
    this->tokens -= 1;
    return true;
}

double retry_budget::available() const
{
    return this->tokens;
}

} // namespace endivehinge

#include <endivehinge/policy/retry_budget.hpp>

#include <algorithm> // max, min

namespace endivehinge
{

retry_budget::retry_budget(double share_of_first_tries, double largest_burst)
    : share(share_of_first_tries)
    , largest(largest_burst)
    , tokens(largest_burst)
{
}

// a caller's retry is an extra try that we cannot refuse: it uses the budget
void retry_budget::record_request(attempt_origin origin)
{
    if (origin == attempt_origin::caller_retry)
    {
        this->tokens = std::max(this->tokens - 1, 0.0);
        return;
    }
    this->tokens = std::min(this->tokens + this->share, this->largest);
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

double retry_budget::left() const
{
    return this->tokens;
}

} // namespace endivehinge

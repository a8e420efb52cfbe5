#ifndef ENDIVEHINGE_POLICY_RETRY_BUDGET_HPP
#define ENDIVEHINGE_POLICY_RETRY_BUDGET_HPP

namespace endivehinge
{

/// @brief whether an incoming request is a retry
enum class attempt_origin
{
    first,        // not a retry
    caller_retry, // retried by the caller
};

/// @brief limits retries to a ratio of first attempts
///
/// Used per node, or per service at a node. In a call chain, only the node that
/// placed a refused request retries it; the node above receives the refusal as
/// a response. Each level thus adds at most its own ratio, and retries do not
/// multiply across levels.
/// @note thread safety: none; the owner serialises calls
class retry_budget
{
public:
    /// @param retry_ratio retries allowed per first attempt, 0 to 1
    /// @param max_burst maximum number of unused retries that accumulate
    explicit retry_budget(double retry_ratio = 0.1, double max_burst = 10);

    /// @brief records an incoming request: a first attempt adds to the budget,
    /// a caller's retry uses it
    void record_request(attempt_origin origin);

    /// @brief spends one retry if the budget allows it
    /// @return whether the retry may be made
    [[nodiscard]] bool try_spend();

    /// @brief retries available now
    [[nodiscard]] double available() const;

private:
    double tokens_per_attempt;
    double max_tokens;
    double tokens;
};

} // namespace endivehinge

#endif

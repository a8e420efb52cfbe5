#ifndef ENDIVEHINGE_POLICY_RETRY_BUDGET_HPP
#define ENDIVEHINGE_POLICY_RETRY_BUDGET_HPP

namespace endivehinge
{

/// @brief who tries a request again
enum class attempt_origin
{
    first,        // nobody has tried it before
    caller_retry, // the caller sends it again
};

/// @brief bounds extra tries to a share of first tries
///
/// One for each node, or for each service at a node. In a chain of
/// calls a refusal is retried only by the node that placed the refused
/// request; to the node above it is an answer. So each level adds its share
/// at most, and levels do not multiply.
/// @note thread safety: none; the owner serialises
class retry_budget
{
public:
    /// @param share_of_first_tries extra tries for each first try, 0 to 1
    /// @param largest_burst extra tries that may be saved up
    explicit retry_budget(double share_of_first_tries = 0.1,
                          double largest_burst = 10);

    /// @brief a request comes in; what a caller retries earns nothing
    void record_request(attempt_origin origin);

    /// @brief asks for one extra try
    /// @return whether it may be made; then it is spent
    [[nodiscard]] bool try_spend();

    /// @brief extra tries that could be made now
    [[nodiscard]] double left() const;

private:
    double share;
    double largest;
    double tokens;
};

} // namespace endivehinge

#endif

#ifndef ENDIVEHINGE_CORE_TOKEN_BUCKET_HPP
#define ENDIVEHINGE_CORE_TOKEN_BUCKET_HPP

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief token-bucket rate limiter
/// @note thread safety: none for concurrent modification
class token_bucket
{
public:
    /// @param tokens_per_second the long-term rate; above 0
    /// @param max_burst calls allowed at once after an idle period; at least 1
    token_bucket(double tokens_per_second, double max_burst);

    /// @brief takes one token
    /// @return false if none is available
    [[nodiscard]] bool try_take(time_point now);

private:
    double rate;
    double capacity;
    double tokens;
    time_point refilled_at;
};

} // namespace endivehinge

#endif

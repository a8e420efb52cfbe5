#ifndef ENDIVEHINGE_CORE_TOKEN_BUCKET_HPP
#define ENDIVEHINGE_CORE_TOKEN_BUCKET_HPP

#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

/// @brief bounds the rate of one kind of calls
/// @note thread safety: as a plain object
class token_bucket
{
public:
    /// @param calls_per_second the rate over a long time; above 0
    /// @param burst calls that may follow at once on a quiet time; at least 1
    token_bucket(double calls_per_second, double burst);

    /// @brief takes one call out of the budget
    /// @return false where none is left now
    [[nodiscard]] bool try_take(time_point now);

private:
    double rate;
    double capacity;
    double left;
    time_point filled;
};

} // namespace endivehinge

#endif

#ifndef ENDIVEHINGE_TOOLS_COMMON_CALL_COUNTER_HPP
#define ENDIVEHINGE_TOOLS_COMMON_CALL_COUNTER_HPP

#include <cstdint> // int64_t

#include <absl/synchronization/mutex.h> // Mutex
#include <absl/time/time.h>             // Time

namespace endivehinge::tools
{

/// @brief counts calls, and those of the busiest second
/// @note thread safety: any thread
class call_counter
{
public:
    /// @brief counts a call
    /// @param limit calls that a second may have
    /// @return whether the call is within the limit
    [[nodiscard]] bool count(absl::Time now, std::int64_t limit);

    /// @brief all calls
    [[nodiscard]] std::int64_t total() const;

    /// @brief calls in the busiest second
    [[nodiscard]] std::int64_t peak() const;

    /// @brief calls beyond the limit of their second
    [[nodiscard]] std::int64_t beyond_limit() const;

private:
    mutable absl::Mutex mutex;
    std::int64_t second = 0;
    std::int64_t in_second = 0;
    std::int64_t most_in_second = 0;
    std::int64_t all = 0;
    std::int64_t over = 0;
};

} // namespace endivehinge::tools

#endif

#ifndef ENDIVEHINGE_TOOLS_COMMON_SERVICE_TIME_HPP
#define ENDIVEHINGE_TOOLS_COMMON_SERVICE_TIME_HPP

#include <cstdint> // uint64_t
#include <random>  // mt19937_64

#include <absl/synchronization/mutex.h> // Mutex
#include <absl/time/time.h>             // Duration

#include <common/target_behaviour.hpp>

namespace endivehinge::tools
{

/// @brief draws how long a target works on a request
/// @note thread safety: any thread; the same seed draws the same times
class service_time
{
public:
    explicit service_time(std::uint64_t seed);

    /// @brief an exponential time, with a slow tail
    [[nodiscard]] absl::Duration draw(target_behaviour const & behaviour);

private:
    absl::Mutex mutex;
    std::mt19937_64 random;
};

} // namespace endivehinge::tools

#endif

#ifndef ENDIVEHINGE_TOOLS_COMMON_WARM_UP_HPP
#define ENDIVEHINGE_TOOLS_COMMON_WARM_UP_HPP

#include <cstdint> // int64_t

#include <absl/synchronization/mutex.h> // Mutex
#include <absl/time/time.h>             // Time

#include <common/target_behaviour.hpp>

namespace endivehinge::tools
{

/// @brief how many slots a target has while it warms up
/// @note thread safety: any thread
class warm_up
{
public:
    /// @brief a target that starts now
    explicit warm_up(absl::Time now);

    /// @brief it turns cold again
    void restart(absl::Time now);

    /// @brief whether it is still cold
    [[nodiscard]] bool is_cold(target_behaviour const & behaviour,
                               absl::Time now) const;

    /// @brief the slots that it can bear now
    [[nodiscard]] std::int64_t slots(target_behaviour const & behaviour,
                                     absl::Time now) const;

private:
    absl::Duration age(absl::Time now) const;

    mutable absl::Mutex mutex;
    absl::Time since;
};

} // namespace endivehinge::tools

#endif

#ifndef ENDIVEHINGE_TOOLS_COMMON_EXECUTION_SLOTS_HPP
#define ENDIVEHINGE_TOOLS_COMMON_EXECUTION_SLOTS_HPP

#include <cstdint>    // int64_t
#include <functional> // function

#include <absl/synchronization/mutex.h> // Mutex
#include <absl/time/time.h>             // Time

namespace endivehinge::tools
{

/// @brief how a request came out of the queue of a target
enum class slot_entry
{
    admitted,
    full,      // too many wait
    expired,   // its deadline passed while it waited
    abandoned, // its caller hung up while it waited
};

/// @brief what may run and wait in a target now
struct slot_bounds
{
    std::int64_t slots = 0;
    std::int64_t queue = 0;
};

/// @brief lets so many requests run at once; the others wait
/// @note thread safety: any thread
class execution_slots
{
public:
    using bounds_source = std::function<slot_bounds()>;
    using abandoned_check = std::function<bool()>;

    /// @param bounds asked again while requests wait
    explicit execution_slots(bounds_source bounds);

    /// @brief waits for a slot
    /// @param deadline the request is not started after it
    /// @param is_abandoned whether the caller hung up
    [[nodiscard]] slot_entry enter(absl::Time deadline,
                                   abandoned_check const & is_abandoned);

    /// @brief gives a slot back
    void leave();

    /// @brief requests that run now
    [[nodiscard]] std::int64_t running() const;

    /// @brief requests that run and wait now
    [[nodiscard]] std::int64_t inside() const;

private:
    slot_entry wait(absl::Time deadline, abandoned_check const & is_abandoned);

    bounds_source current_bounds;
    mutable absl::Mutex mutex;
    std::int64_t running_count = 0;
    std::int64_t waiting_count = 0;
};

} // namespace endivehinge::tools

#endif

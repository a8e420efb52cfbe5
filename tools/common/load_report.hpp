#ifndef ENDIVEHINGE_TOOLS_COMMON_LOAD_REPORT_HPP
#define ENDIVEHINGE_TOOLS_COMMON_LOAD_REPORT_HPP

#include <cstdint> // int64_t
#include <deque>   // deque

#include <absl/synchronization/mutex.h> // Mutex
#include <absl/time/time.h>             // Time

#include <common/target_behaviour.hpp>

namespace endivehinge::tools
{

/// @brief what a target tells of its load: late, or a lie
/// @note thread safety: any thread
class load_report
{
public:
    /// @brief takes a sample and tells one that is old enough
    /// @param inside requests that run and wait now
    [[nodiscard]] std::int64_t tell(std::int64_t inside,
                                    target_behaviour const & behaviour,
                                    absl::Time now);

private:
    struct sample
    {
        absl::Time taken;
        std::int64_t inside = 0;
    };

    absl::Mutex mutex;
    std::deque<sample> samples;
};

} // namespace endivehinge::tools

#endif

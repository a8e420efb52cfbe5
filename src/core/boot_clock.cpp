#include <endivehinge/core/boot_clock.hpp>

#include <ctime> // clock_gettime, CLOCK_BOOTTIME, timespec

namespace endivehinge
{

boot_clock::time_point boot_clock::now() noexcept
{
    timespec time{};
    // cannot fail: the clock exists since Linux 2.6.39
    static_cast<void>(clock_gettime(CLOCK_BOOTTIME, &time));
    return time_point(std::chrono::seconds(time.tv_sec) +
                      std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace endivehinge

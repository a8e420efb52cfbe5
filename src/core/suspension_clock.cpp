#include <endivehinge/core/suspension_clock.hpp>

#include <ctime> // clock_gettime

namespace endivehinge
{

time_point suspension_aware_now()
{
    timespec reading{};
    if (clock_gettime(CLOCK_BOOTTIME, &reading) != 0)
    {
        // kernels before 2.6.39 have no CLOCK_BOOTTIME
        return std::chrono::steady_clock::now();
    }
    return time_point(std::chrono::seconds(reading.tv_sec) +
                      std::chrono::nanoseconds(reading.tv_nsec));
}

} // namespace endivehinge

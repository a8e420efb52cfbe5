#include <endivehinge/core/suspension_clock.hpp>

#include <ctime> // clock_gettime, CLOCK_BOOTTIME

namespace endivehinge
{

time_point suspension_clock::now()
{
    timespec value{};
    if (clock_gettime(CLOCK_BOOTTIME, &value) != 0)
    {
        return std::chrono::steady_clock::now();
    }
    return time_point(std::chrono::seconds(value.tv_sec) +
                      std::chrono::nanoseconds(value.tv_nsec));
}

} // namespace endivehinge

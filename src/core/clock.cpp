#include <endivehinge/core/clock.hpp>

namespace endivehinge
{

time_point machine_clock::now() const
{
    return std::chrono::time_point_cast<duration>(
        std::chrono::steady_clock::now());
}

wall_time machine_clock::wall_now() const
{
    return std::chrono::time_point_cast<duration>(
        std::chrono::system_clock::now());
}

double to_milliseconds(duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

} // namespace endivehinge

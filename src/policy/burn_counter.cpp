#include <endivehinge/policy/burn_counter.hpp>

#include <chrono> // duration_cast, minutes

namespace endivehinge
{
namespace
{

constexpr std::int64_t minutes_of(duration span)
{
    return std::chrono::duration_cast<std::chrono::minutes>(span).count();
}

constexpr std::size_t bucket_count =
    static_cast<std::size_t>(minutes_of(burn_window_lengths.back()));

} // namespace

double burn_rate(burn_window const & window, double target_share)
{
    if (window.total == 0)
    {
        return 0;
    }
    double const bad_share =
        static_cast<double>(window.bad) / static_cast<double>(window.total);
    return bad_share / (1 - target_share);
}

void burn_counter::record(time_point now, bool good)
{
    // a service that gets no requests costs no memory
    this->buckets.resize(bucket_count);
    std::int64_t const minute = minutes_of(now.time_since_epoch());
    bucket & current =
        this->buckets[static_cast<std::size_t>(minute) % bucket_count];
    if (current.minute != minute)
    {
        current = {minute, 0, 0};
    }
    ++current.total;
    current.bad += good ? 0 : 1;
}

std::vector<burn_window> burn_counter::windows(time_point now) const
{
    std::int64_t const minute = minutes_of(now.time_since_epoch());
    std::vector<burn_window> result;
    result.reserve(burn_window_lengths.size());
    for (duration const length : burn_window_lengths)
    {
        burn_window window{length};
        for (bucket const & one : this->buckets)
        {
            bool const inside = one.minute >= 0 && one.minute <= minute &&
                                one.minute > minute - minutes_of(length);
            window.total += inside ? one.total : 0;
            window.bad += inside ? one.bad : 0;
        }
        result.push_back(window);
    }
    return result;
}

} // namespace endivehinge

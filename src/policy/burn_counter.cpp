#include <endivehinge/policy/burn_counter.hpp>

#include <chrono> // duration_cast, minutes

namespace endivehinge
{
namespace
{

constexpr std::int64_t whole_minutes(duration length)
{
    return std::chrono::duration_cast<std::chrono::minutes>(length).count();
}

constexpr std::size_t bucket_count =
    static_cast<std::size_t>(whole_minutes(burn_window_lengths.back()));

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
    // allocated on the first request, to save memory for idle services
    this->buckets.resize(bucket_count);
    std::int64_t const minute = whole_minutes(now.time_since_epoch());
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
    std::int64_t const minute = whole_minutes(now.time_since_epoch());
    std::vector<burn_window> result;
    result.reserve(burn_window_lengths.size());
    for (duration const length : burn_window_lengths)
    {
        burn_window window{length};
        for (bucket const & minute_bucket : this->buckets)
        {
            bool const in_window =
                minute_bucket.minute >= 0 && minute_bucket.minute <= minute &&
                minute_bucket.minute > minute - whole_minutes(length);
            window.total += in_window ? minute_bucket.total : 0;
            window.bad += in_window ? minute_bucket.bad : 0;
        }
        result.push_back(window);
    }
    return result;
}

} // namespace endivehinge

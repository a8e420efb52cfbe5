#include <endivehinge/policy/start_window.hpp>

#include <algorithm> // count_if, max
#include <cstdint>   // int64_t

namespace endivehinge
{

start_window::start_window(duration length)
    : window_length(length)
{
}

void start_window::set_capacity(std::size_t starts)
{
    this->capacity = std::max<std::size_t>(starts, 1);
    while (this->recent.size() > this->capacity)
    {
        this->recent.pop_front();
    }
}

void start_window::record_start(time_point now)
{
    this->recent.push_back(now);
    if (this->recent.size() > this->capacity)
    {
        this->recent.pop_front();
    }
}

std::size_t start_window::count_after(time_point since, time_point now) const
{
    auto const first = std::max(since, now - this->window_length);
    return static_cast<std::size_t>(std::count_if(this->recent.begin(),
                                                  this->recent.end(),
                                                  [first](time_point start)
                                                  {
                                                      return start > first;
                                                  }));
}

duration start_window::time_until(std::size_t starts, time_point now) const
{
    std::size_t const unused = this->capacity - this->recent.size();
    if (starts <= unused)
    {
        return duration(0);
    }
    // the start that replaces the recent one at this position ends the wait;
    // after one of each position, the next round follows a window later
    std::size_t const position = starts - unused - 1;
    auto const rounds = static_cast<std::int64_t>(position / this->capacity);
    std::size_t const index = position % this->capacity;
    auto const base = index < this->recent.size() ? this->recent[index] : now;
    return std::max(base + this->window_length * (rounds + 1) - now,
                    duration(0));
}

} // namespace endivehinge

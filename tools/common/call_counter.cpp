#include <common/call_counter.hpp>

#include <algorithm> // max

namespace endivehinge::tools
{

bool call_counter::count(absl::Time now, std::int64_t limit)
{
    absl::MutexLock lock(&this->mutex);
    std::int64_t const present = absl::ToUnixSeconds(now);
    if (present != this->second)
    {
        this->second = present;
        this->in_second = 0;
    }
    ++this->all;
    ++this->in_second;
    this->most_in_second = std::max(this->most_in_second, this->in_second);
    bool const is_within = this->in_second <= limit;
    this->over += is_within ? 0 : 1;
    return is_within;
}

std::int64_t call_counter::total() const
{
    absl::MutexLock lock(&this->mutex);
    return this->all;
}

std::int64_t call_counter::peak() const
{
    absl::MutexLock lock(&this->mutex);
    return this->most_in_second;
}

std::int64_t call_counter::beyond_limit() const
{
    absl::MutexLock lock(&this->mutex);
    return this->over;
}

} // namespace endivehinge::tools

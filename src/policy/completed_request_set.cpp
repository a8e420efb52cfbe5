#include <endivehinge/policy/completed_request_set.hpp>

#include <cstddef> // size_t
#include <utility> // exchange

namespace endivehinge
{
namespace
{

// of one generation; bounds memory to some 20 kB
constexpr std::size_t max_requests = 512;
// long enough to cover the restart of a target
constexpr duration max_generation_age = std::chrono::seconds(30);

} // namespace

void completed_request_set::add(request_fingerprint request, time_point now)
{
    if (this->newer.size() >= max_requests ||
        now - this->newer_since >= max_generation_age)
    {
        this->older = std::exchange(this->newer, {});
        this->newer_since = now;
    }
    this->newer.insert(request);
}

bool completed_request_set::contains(request_fingerprint request) const
{
    return this->newer.contains(request) || this->older.contains(request);
}

} // namespace endivehinge

#include <endivehinge/policy/completed_request_set.hpp>

#include <cstddef> // size_t
#include <utility> // exchange

namespace endivehinge
{
namespace
{

// of one generation; bounds memory
constexpr std::size_t max_requests = 512;
// a request that crashes its targets may run without limit for 3 s after the
// third crash, which follows its last completion
constexpr duration max_age = std::chrono::seconds(3);

} // namespace

void completed_request_set::add(request_fingerprint request, time_point now)
{
    if (this->newer.size() >= max_requests ||
        now - this->newer_since >= max_age)
    {
        this->older = std::exchange(this->newer, {});
        this->newer_since = now;
    }
    this->newer[request] = now;
}

bool completed_request_set::contains(request_fingerprint request,
                                     time_point now) const
{
    for (auto const * const generation : {&this->newer, &this->older})
    {
        auto const found = generation->find(request);
        if (found != generation->end())
        {
            return now - found->second < max_age;
        }
    }
    return false;
}

} // namespace endivehinge

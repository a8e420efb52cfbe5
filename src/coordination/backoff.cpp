#include <endivehinge/coordination/backoff.hpp>

#include <algorithm> // min

#include <absl/random/uniform_int_distribution.h> // uniform_int_distribution

namespace endivehinge
{

backoff::backoff(duration first_wait, duration longest_wait)
    : first(first_wait)
    , longest(longest_wait)
    , bound(first_wait)
{
}

duration backoff::next_delay(absl::BitGenRef random)
{
    absl::uniform_int_distribution<std::int64_t> spread(this->bound.count() / 2,
                                                        this->bound.count());
    duration const wait(spread(random));
    this->bound = std::min(this->longest, this->bound * 2);
    return wait;
}

void backoff::reset()
{
    this->bound = this->first;
}

} // namespace endivehinge

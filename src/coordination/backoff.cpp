#include <endivehinge/coordination/backoff.hpp>

#include <algorithm> // min

#include <absl/random/uniform_int_distribution.h> // uniform_int_distribution

namespace endivehinge
{

backoff::backoff(duration initial_wait, duration max_wait)
    : initial_bound(initial_wait)
    , max_bound(max_wait)
    , current_bound(initial_wait)
{
}

duration backoff::next_delay(absl::BitGenRef random)
{
    absl::uniform_int_distribution<std::int64_t> jitter(
        this->current_bound.count() / 2, this->current_bound.count());
    duration const delay(jitter(random));
    this->current_bound = std::min(this->max_bound, this->current_bound * 2);
    return delay;
}

void backoff::reset()
{
    this->current_bound = this->initial_bound;
}

} // namespace endivehinge

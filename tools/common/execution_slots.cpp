#include <common/execution_slots.hpp>

#include <algorithm> // min
#include <utility>   // move

#include <absl/time/clock.h> // Now

namespace endivehinge::tools
{
namespace
{

// how often a waiting request looks at its caller and at the bounds
constexpr absl::Duration look_interval = absl::Milliseconds(10);

} // namespace

execution_slots::execution_slots(bounds_source bounds)
    : current_bounds(std::move(bounds))
{
}

slot_entry execution_slots::enter(absl::Time deadline,
                                  abandoned_check const & is_abandoned)
{
    slot_bounds const bounds = this->current_bounds();
    absl::MutexLock lock(&this->mutex);
    if (this->running_count >= bounds.slots &&
        this->waiting_count >= bounds.queue)
    {
        return slot_entry::full;
    }
    ++this->waiting_count;
    slot_entry const entry = this->wait(deadline, is_abandoned);
    --this->waiting_count;
    this->running_count += entry == slot_entry::admitted ? 1 : 0;
    return entry;
}

slot_entry execution_slots::wait(absl::Time deadline,
                                 abandoned_check const & is_abandoned)
{
    while (true)
    {
        if (absl::Now() >= deadline)
        {
            return slot_entry::expired;
        }
        if (is_abandoned())
        {
            return slot_entry::abandoned;
        }
        std::int64_t const slots = this->current_bounds().slots;
        auto const has_room = [this, slots]()
        {
            return this->running_count < slots;
        };
        absl::Time const next = std::min(deadline, absl::Now() + look_interval);
        if (this->mutex.AwaitWithDeadline(absl::Condition(&has_room), next))
        {
            return slot_entry::admitted;
        }
    }
}

void execution_slots::leave()
{
    absl::MutexLock lock(&this->mutex);
    --this->running_count;
}

std::int64_t execution_slots::running() const
{
    absl::MutexLock lock(&this->mutex);
    return this->running_count;
}

std::int64_t execution_slots::inside() const
{
    absl::MutexLock lock(&this->mutex);
    return this->running_count + this->waiting_count;
}

} // namespace endivehinge::tools

#include <endivehinge/coordination/dropped_request_set.hpp>

#include <algorithm> // max, min_element

#include <endivehinge/coordination/request_origin.hpp>

namespace endivehinge
{

dropped_request_set::dropped_request_set(std::size_t max_senders)
    : sender_limit(max_senders)
{
}

void dropped_request_set::add(request_id const & id)
{
    if (this->is_evicted(id))
    {
        return;
    }
    auto const origin = request_origin::of(id);
    if (!this->low_water_marks.contains(origin.sender))
    {
        this->ensure_capacity();
    }
    auto & mark = this->low_water_marks[origin.sender];
    mark.incarnation_number = origin.incarnation_number;
    mark.counter = std::max(mark.counter, origin.counter);
}

bool dropped_request_set::may_contain(request_id const & id) const
{
    auto const origin = request_origin::of(id);
    if (auto const found = this->low_water_marks.find(origin.sender);
        found != this->low_water_marks.end())
    {
        return origin.counter <= found->second.counter;
    }
    return this->is_evicted(id);
}

// A sender that was evicted once gets no new low-water mark: IDs above that
// mark would count as not dropped, although their records may have been dropped
// before the eviction.
bool dropped_request_set::is_evicted(request_id const & id) const
{
    auto const origin = request_origin::of(id);
    return origin.incarnation_number <= this->evicted_incarnation &&
           !this->low_water_marks.contains(origin.sender);
}

// Evicts the sender with the earliest incarnation, the most likely to have
// stopped.
void dropped_request_set::ensure_capacity()
{
    if (this->low_water_marks.size() < this->sender_limit)
    {
        return;
    }
    auto const earliest = std::min_element(
        this->low_water_marks.begin(),
        this->low_water_marks.end(),
        [](auto const & a, auto const & b)
        {
            return a.second.incarnation_number < b.second.incarnation_number;
        });
    this->evicted_incarnation = std::max(this->evicted_incarnation,
                                         earliest->second.incarnation_number);
    this->low_water_marks.erase(earliest);
}

} // namespace endivehinge

#include <endivehinge/coordination/dropped_request_set.hpp>

#include <algorithm> // max, min_element

#include <endivehinge/coordination/request_origin.hpp>

namespace endivehinge
{

dropped_request_set::dropped_request_set(std::size_t most_senders)
    : sender_limit(most_senders)
{
}

void dropped_request_set::add(request_id const & id)
{
    if (this->is_lost(id))
    {
        return;
    }
    auto const origin = request_origin::of(id);
    if (!this->marks.contains(origin.sender))
    {
        this->make_room();
    }
    auto & mark = this->marks[origin.sender];
    mark.run = origin.run;
    mark.counter = std::max(mark.counter, origin.counter);
}

bool dropped_request_set::may_contain(request_id const & id) const
{
    auto const origin = request_origin::of(id);
    if (auto const found = this->marks.find(origin.sender);
        found != this->marks.end())
    {
        return origin.counter <= found->second.counter;
    }
    return this->is_lost(id);
}

// a mark of its own would forget the one that was lost
bool dropped_request_set::is_lost(request_id const & id) const
{
    auto const origin = request_origin::of(id);
    return origin.run <= this->lost_runs &&
           !this->marks.contains(origin.sender);
}

// the earliest run is the likeliest to have ended
void dropped_request_set::make_room()
{
    if (this->marks.size() < this->sender_limit)
    {
        return;
    }
    auto const earliest =
        std::min_element(this->marks.begin(),
                         this->marks.end(),
                         [](auto const & a, auto const & b)
                         {
                             return a.second.run < b.second.run;
                         });
    this->lost_runs = std::max(this->lost_runs, earliest->second.run);
    this->marks.erase(earliest);
}

} // namespace endivehinge

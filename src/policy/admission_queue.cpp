#include <endivehinge/policy/admission_queue.hpp>

#include <algorithm> // min
#include <iterator>  // distance
#include <tuple>     // tie

namespace endivehinge
{
namespace
{

bool is_more_urgent(ticket_info const & a, ticket_info const & b)
{
    return std::tie(a.urgency, a.deadline, a.id) <
           std::tie(b.urgency, b.deadline, b.id);
}

bool arrived_earlier(ticket_info const & a, ticket_info const & b)
{
    return a.id < b.id;
}

} // namespace

admission_queue::admission_queue(queue_order initial_order)
    : order(initial_order)
    , ordered(initial_order == queue_order::urgency ? is_more_urgent
                                                    : arrived_earlier)
{
}

void admission_queue::insert(ticket_info const & ticket)
{
    this->ordered.insert(ticket);
    this->by_id.emplace(ticket.id, ticket);
    ++this->count_by_urgency[ticket.urgency];
    this->earliest_deadline =
        std::min(this->earliest_deadline, ticket.deadline);
}

void admission_queue::erase(ticket_id id)
{
    auto const found = this->by_id.find(id);
    if (found == this->by_id.end())
    {
        return;
    }
    --this->count_by_urgency[found->second.urgency];
    this->ordered.erase(found->second);
    this->by_id.erase(found);
}

bool admission_queue::would_be_first(ticket_info const & ticket) const
{
    return this->ordered.empty() ||
           this->ordered.key_comp()(ticket, *this->ordered.begin());
}

std::size_t admission_queue::count_ahead(ticket_info const & ticket) const
{
    if (this->order == queue_order::arrival)
    {
        return this->ordered.size();
    }
    std::size_t at_least_as_urgent = 0;
    for (auto const & [urgency, count] : this->count_by_urgency)
    {
        at_least_as_urgent += urgency <= ticket.urgency ? count : 0;
    }
    // counts backwards from the end of the ticket's priority, since a new
    // deadline is usually among the latest
    ticket_info const next_priority{
        {},
        static_cast<priority>(static_cast<int>(ticket.urgency) + 1),
        time_point::min()};
    auto const behind = std::distance(this->ordered.lower_bound(ticket),
                                      this->ordered.lower_bound(next_priority));
    return at_least_as_urgent - static_cast<std::size_t>(behind);
}

std::vector<ticket_info> admission_queue::expired(time_point now)
{
    std::vector<ticket_info> found;
    if (now < this->earliest_deadline)
    {
        return found;
    }
    this->earliest_deadline = time_point::max();
    for (auto const & ticket : this->ordered)
    {
        this->earliest_deadline =
            std::min(this->earliest_deadline, ticket.deadline);
        if (ticket.deadline <= now)
        {
            found.push_back(ticket);
        }
    }
    return found;
}

admission_queue::ordered_tickets const & admission_queue::tickets() const
{
    return this->ordered;
}

} // namespace endivehinge

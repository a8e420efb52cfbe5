#include <endivehinge/coordination/update_queue.hpp>

#include <vector> // vector

namespace endivehinge
{

update_queue::update_queue(std::size_t max_updates)
    : capacity(max_updates)
{
}

void update_queue::push(member_update const & update)
{
    if (auto const existing = this->orders_by_name.find(update.record->name);
        existing != this->orders_by_name.end())
    {
        this->updates.erase(existing->second);
        this->orders_by_name.erase(existing);
    }
    if (this->updates.size() >= this->capacity)
    {
        auto const lowest_priority = std::prev(this->updates.end());
        this->orders_by_name.erase(lowest_priority->second.record->name);
        this->updates.erase(lowest_priority);
    }
    this->insert({0, ++this->push_count}, update);
}

void update_queue::pack(datagram_packer & packer, std::size_t max_transmissions)
{
    std::vector<send_order> packed;
    for (auto const & [order, update] : this->updates)
    {
        if (!packer.try_add(update))
        {
            break;
        }
        packed.push_back(order);
    }
    for (auto const & order : packed)
    {
        auto const queued = this->updates.extract(order);
        this->orders_by_name.erase(queued.mapped().record->name);
        if (order.transmissions + 1 < max_transmissions)
        {
            this->insert({order.transmissions + 1, order.push_number},
                         queued.mapped());
        }
    }
}

std::size_t update_queue::size() const
{
    return this->updates.size();
}

void update_queue::insert(send_order order, member_update const & update)
{
    this->updates.emplace(order, update);
    this->orders_by_name[update.record->name] = order;
}

} // namespace endivehinge

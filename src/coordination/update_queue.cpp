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
    if (auto const known = this->places.find(update.record->name);
        known != this->places.end())
    {
        this->updates.erase(known->second);
        this->places.erase(known);
    }
    if (this->updates.size() >= this->capacity)
    {
        auto const last = std::prev(this->updates.end());
        this->places.erase(last->second.record->name);
        this->updates.erase(last);
    }
    this->insert({0, ++this->pushed}, update);
}

void update_queue::pack(datagram_packer & packer, std::size_t max_transmissions)
{
    std::vector<rank> sent;
    for (auto const & [place, update] : this->updates)
    {
        if (!packer.try_add(update))
        {
            break;
        }
        sent.push_back(place);
    }
    for (auto const & place : sent)
    {
        auto const node = this->updates.extract(place);
        this->places.erase(node.mapped().record->name);
        if (place.transmissions + 1 < max_transmissions)
        {
            this->insert({place.transmissions + 1, place.age}, node.mapped());
        }
    }
}

std::size_t update_queue::size() const
{
    return this->updates.size();
}

void update_queue::insert(rank place, member_update const & update)
{
    this->updates.emplace(place, update);
    this->places[update.record->name] = place;
}

} // namespace endivehinge

#include <endivehinge/coordination/member_table.hpp>

namespace endivehinge
{

member_table::member_table(std::size_t max_members)
    : capacity(max_members)
{
}

std::optional<member_index> member_table::apply(member_update const & update,
                                                time_point now)
{
    if (auto const known = this->find(update.record->name); known.has_value())
    {
        member_entry & entry = this->entries[*known];
        if (!is_news(update, entry))
        {
            return std::nullopt;
        }
        this->replace(entry, update, now);
        this->places_by_name.emplace(entry.record->name.value(), *known);
        return known;
    }
    if (this->places_by_name.size() >= this->capacity)
    {
        return std::nullopt;
    }
    member_index const place = this->take_place();
    member_entry & entry = this->entries[place];
    this->replace(entry, update, now);
    this->places_by_name.emplace(entry.record->name.value(), place);
    return place;
}

std::optional<member_index> member_table::find(node_name const & name) const
{
    auto const found = this->places_by_name.find(name.value());
    if (found == this->places_by_name.end())
    {
        return std::nullopt;
    }
    return found->second;
}

member_entry const & member_table::at(member_index index) const
{
    return this->entries[index];
}

void member_table::set_unreachable(member_index index, bool unreachable)
{
    member_entry & entry = this->entries[index];
    entry.unreachable = unreachable;
    if (entry.state == member_state::suspect)
    {
        entry.state = member_state::alive;
    }
}

void member_table::forget_gone(time_point now, duration retention)
{
    for (member_index i = 0; i < this->entries.size(); ++i)
    {
        member_entry & entry = this->entries[i];
        if (entry.record == nullptr || !is_removed(entry.state) ||
            now - entry.changed < retention)
        {
            continue;
        }
        this->places_by_name.erase(entry.record->name.value());
        entry = member_entry();
        this->free_places.push_back(i);
    }
}

std::size_t member_table::places() const
{
    return this->entries.size();
}

std::size_t member_table::present() const
{
    return this->present_count;
}

member_digest const & member_table::digest() const
{
    return this->checksums;
}

bool member_table::is_news(member_update const & update,
                           member_entry const & known)
{
    // a run that left does not come back
    if (known.state == member_state::left &&
        update.record->incarnation_number == known.record->incarnation_number)
    {
        return false;
    }
    if (is_later(*update.record, *known.record))
    {
        return true;
    }
    if (is_later(*known.record, *update.record))
    {
        return false;
    }
    return update.state > known.state;
}

void member_table::replace(member_entry & entry,
                           member_update const & update,
                           time_point now)
{
    if (entry.record != nullptr)
    {
        this->places_by_name.erase(entry.record->name.value());
    }
    if (entry.present())
    {
        this->checksums.toggle(*entry.record);
        --this->present_count;
    }
    entry.record = update.record;
    entry.state = update.state;
    entry.changed = now;
    if (entry.present())
    {
        this->checksums.toggle(*entry.record);
        ++this->present_count;
    }
}

member_index member_table::take_place()
{
    if (this->free_places.empty())
    {
        this->entries.emplace_back();
        return static_cast<member_index>(this->entries.size() - 1);
    }
    member_index const place = this->free_places.back();
    this->free_places.pop_back();
    return place;
}

} // namespace endivehinge

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
    if (auto const existing_index = this->find(update.record->name);
        existing_index.has_value())
    {
        member_entry & entry = this->entries[*existing_index];
        if (!supersedes(update, entry))
        {
            return std::nullopt;
        }
        this->replace(entry, update, now);
        this->indexes_by_name.emplace(entry.record->name.value(),
                                      *existing_index);
        return existing_index;
    }
    if (this->indexes_by_name.size() >= this->capacity)
    {
        return std::nullopt;
    }
    member_index const index = this->allocate_index();
    member_entry & entry = this->entries[index];
    this->replace(entry, update, now);
    this->indexes_by_name.emplace(entry.record->name.value(), index);
    return index;
}

std::optional<member_index> member_table::find(node_name const & name) const
{
    auto const found = this->indexes_by_name.find(name.value());
    if (found == this->indexes_by_name.end())
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

void member_table::remove_expired_tombstones(time_point now, duration retention)
{
    for (member_index i = 0; i < this->entries.size(); ++i)
    {
        member_entry & entry = this->entries[i];
        if (entry.record == nullptr || !is_removed(entry.state) ||
            now - entry.changed_at < retention)
        {
            continue;
        }
        this->indexes_by_name.erase(entry.record->name.value());
        entry = member_entry();
        this->free_indexes.push_back(i);
    }
}

std::size_t member_table::index_count() const
{
    return this->entries.size();
}

std::size_t member_table::active_count() const
{
    return this->active_entries;
}

member_digest const & member_table::digest() const
{
    return this->active_digest;
}

bool member_table::supersedes(member_update const & update,
                              member_entry const & existing)
{
    // an incarnation that has left does not return
    if (existing.state == member_state::left &&
        update.record->incarnation_number ==
            existing.record->incarnation_number)
    {
        return false;
    }
    if (is_later(*update.record, *existing.record))
    {
        return true;
    }
    if (is_later(*existing.record, *update.record))
    {
        return false;
    }
    return update.state > existing.state;
}

void member_table::replace(member_entry & entry,
                           member_update const & update,
                           time_point now)
{
    if (entry.record != nullptr)
    {
        this->indexes_by_name.erase(entry.record->name.value());
    }
    if (entry.is_active())
    {
        this->active_digest.toggle(*entry.record);
        --this->active_entries;
    }
    entry.record = update.record;
    entry.state = update.state;
    entry.changed_at = now;
    if (entry.is_active())
    {
        this->active_digest.toggle(*entry.record);
        ++this->active_entries;
    }
}

member_index member_table::allocate_index()
{
    if (this->free_indexes.empty())
    {
        this->entries.emplace_back();
        return static_cast<member_index>(this->entries.size() - 1);
    }
    member_index const index = this->free_indexes.back();
    this->free_indexes.pop_back();
    return index;
}

} // namespace endivehinge

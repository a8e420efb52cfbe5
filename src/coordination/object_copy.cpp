#include <endivehinge/coordination/object_copy.hpp>

#include <algorithm> // max, min_element

namespace endivehinge
{

object_copy::object_copy(std::size_t tombstone_limit)
    : max_tombstones(tombstone_limit)
{
}

object_changes object_copy::apply(object_changes const & changes)
{
    object_changes applied;
    applied.version = this->current_version;
    if (changes.version <= this->current_version &&
        this->current_version != object_version())
    {
        return applied;
    }
    if (!changes.complete &&
        changes.version.era() != this->current_version.era())
    {
        // the changes build on a base that this copy does not have; a complete
        // list follows
        return applied;
    }
    if (changes.complete)
    {
        this->replace(changes, applied);
    }
    else
    {
        this->merge(changes, applied);
    }
    this->current_version = changes.version;
    this->evict_tombstones();
    applied.version = this->current_version;
    return applied;
}

object_changes object_copy::changes_since(object_version older) const
{
    object_changes changes;
    changes.version = this->current_version;
    changes.complete = older == object_version() ||
                       older.era() != this->current_version.era() ||
                       older < this->tombstones_since;
    for (auto const & [name, object] : this->objects)
    {
        if (changes.complete || object.version > older)
        {
            changes.objects.push_back(object);
        }
    }
    if (changes.complete)
    {
        return changes;
    }
    for (auto const & [name, version] : this->tombstones)
    {
        if (version > older)
        {
            changes.objects.push_back({name, version, "", true});
        }
    }
    return changes;
}

object_version object_copy::version() const
{
    return this->current_version;
}

replicated_object const * object_copy::find(std::string const & name) const
{
    auto const found = this->objects.find(name);
    return found == this->objects.end() ? nullptr : &found->second;
}

void object_copy::replace(object_changes const & changes,
                          object_changes & applied)
{
    absl::btree_map<std::string, replicated_object> replacement;
    for (auto const & object : changes.objects)
    {
        if (object.deleted)
        {
            continue;
        }
        auto const existing = this->objects.find(object.name);
        if (existing == this->objects.end() ||
            existing->second.version != object.version)
        {
            applied.objects.push_back(object);
        }
        replacement[object.name] = object;
    }
    for (auto const & [name, object] : this->objects)
    {
        if (!replacement.contains(name))
        {
            // the exact version of the deletion is unknown, but it is not later
            // than that of the changes
            applied.objects.push_back(
                {name, changes.version, object.content, true});
            this->tombstones[name] = changes.version;
        }
    }
    if (this->current_version.era() != changes.version.era() ||
        this->current_version == object_version())
    {
        // the deletions before the list, in its era, are not known
        this->tombstones_since = changes.version;
    }
    this->objects = std::move(replacement);
}

void object_copy::merge(object_changes const & changes,
                        object_changes & applied)
{
    for (auto const & object : changes.objects)
    {
        auto const existing = this->objects.find(object.name);
        bool const exists = existing != this->objects.end();
        // a deletion may carry the version of the last change before it
        if (exists &&
            (object.deleted ? existing->second.version > object.version
                            : existing->second.version >= object.version))
        {
            continue;
        }
        applied.objects.push_back(object);
        if (object.deleted)
        {
            applied.objects.back().content =
                exists ? existing->second.content : "";
            this->objects.erase(object.name);
            this->tombstones[object.name] = changes.version;
        }
        else
        {
            this->objects[object.name] = object;
            this->tombstones.erase(object.name);
        }
    }
}

void object_copy::evict_tombstones()
{
    while (this->tombstones.size() > this->max_tombstones)
    {
        auto const oldest = std::min_element(this->tombstones.begin(),
                                             this->tombstones.end(),
                                             [](auto const & a, auto const & b)
                                             {
                                                 return a.second < b.second;
                                             });
        this->tombstones_since =
            std::max(this->tombstones_since, oldest->second);
        this->tombstones.erase(oldest);
    }
}

} // namespace endivehinge

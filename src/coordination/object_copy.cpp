#include <endivehinge/coordination/object_copy.hpp>

#include <algorithm> // max, min_element

namespace endivehinge
{

object_copy::object_copy(std::size_t remembered)
    : remembered_deletions(remembered)
{
}

object_changes object_copy::apply(object_changes const & changes)
{
    object_changes news;
    news.version = this->reflected;
    if (changes.version <= this->reflected &&
        this->reflected != object_version())
    {
        return news;
    }
    if (changes.complete)
    {
        this->replace(changes, news);
    }
    else
    {
        this->merge(changes, news);
    }
    this->reflected = changes.version;
    this->forget_deletions();
    news.version = this->reflected;
    return news;
}

object_changes object_copy::changes_since(object_version older) const
{
    object_changes changes;
    changes.version = this->reflected;
    changes.complete =
        older == object_version() || older < this->deletions_since;
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
    for (auto const & [name, version] : this->deletions)
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
    return this->reflected;
}

replicated_object const * object_copy::find(std::string const & name) const
{
    auto const found = this->objects.find(name);
    return found == this->objects.end() ? nullptr : &found->second;
}

void object_copy::replace(object_changes const & changes, object_changes & news)
{
    absl::btree_map<std::string, replicated_object> newer;
    for (auto const & object : changes.objects)
    {
        if (object.deleted)
        {
            continue;
        }
        auto const known = this->objects.find(object.name);
        if (known == this->objects.end() ||
            known->second.version != object.version)
        {
            news.objects.push_back(object);
        }
        newer[object.name] = object;
    }
    for (auto const & [name, object] : this->objects)
    {
        if (!newer.contains(name))
        {
            // deleted at some version up to the one that is now reflected
            news.objects.push_back({name, changes.version, "", true});
            this->deletions[name] = changes.version;
        }
    }
    if (this->reflected == object_version())
    {
        this->deletions_since = changes.version;
    }
    this->objects = std::move(newer);
}

void object_copy::merge(object_changes const & changes, object_changes & news)
{
    for (auto const & object : changes.objects)
    {
        auto const known = this->objects.find(object.name);
        bool const is_known = known != this->objects.end();
        // a deletion may bear the version of the last change before it
        if (is_known &&
            (object.deleted ? known->second.version > object.version
                            : known->second.version >= object.version))
        {
            continue;
        }
        news.objects.push_back(object);
        if (object.deleted)
        {
            this->objects.erase(object.name);
            this->deletions[object.name] = changes.version;
        }
        else
        {
            this->objects[object.name] = object;
            this->deletions.erase(object.name);
        }
    }
}

void object_copy::forget_deletions()
{
    while (this->deletions.size() > this->remembered_deletions)
    {
        auto const oldest = std::min_element(this->deletions.begin(),
                                             this->deletions.end(),
                                             [](auto const & a, auto const & b)
                                             {
                                                 return a.second < b.second;
                                             });
        this->deletions_since = std::max(this->deletions_since, oldest->second);
        this->deletions.erase(oldest);
    }
}

} // namespace endivehinge

#include <endivehinge/coordination/configuration_state.hpp>

#include <algorithm> // max, sort
#include <utility>   // move

namespace endivehinge
{

merge_result configuration_state::merge(change_set const & changes)
{
    if (changes.upto <= this->merged_version)
    {
        return merge_result::unchanged;
    }
    if (changes.after > this->merged_version)
    {
        return merge_result::gap;
    }
    for (auto const & object : changes.objects)
    {
        stored_object & stored = this->objects_by_name[object.name];
        // a version beyond `upto` does not belong to the set
        if (object.version > stored.version && object.version <= changes.upto)
        {
            stored = object;
        }
    }
    this->merged_version = changes.upto;
    return merge_result::advanced;
}

change_set configuration_state::changes_after(object_version after,
                                              std::size_t max_bytes) const
{
    change_set result{after, std::max(after, this->merged_version), {}};
    std::vector<stored_object const *> newer;
    for (auto const & [name, object] : this->objects_by_name)
    {
        if (object.version > after)
        {
            newer.push_back(&object);
        }
    }
    std::sort(newer.begin(),
              newer.end(),
              [](stored_object const * a, stored_object const * b)
              {
                  return a->version < b->version;
              });
    std::size_t bytes = 0;
    for (auto const * const object : newer)
    {
        bytes += object->name.size() + object->value.size();
        if (!result.objects.empty() && bytes > max_bytes)
        {
            result.upto = result.objects.back().version;
            break;
        }
        result.objects.push_back(*object);
    }
    return result;
}

object_version configuration_state::version() const
{
    return this->merged_version;
}

std::vector<stored_object> configuration_state::objects() const
{
    std::vector<stored_object> existing;
    for (auto const & [name, object] : this->objects_by_name)
    {
        if (!object.removed)
        {
            existing.push_back(object);
        }
    }
    return existing;
}

object_version configuration_state::version_of(std::string const & name) const
{
    auto const entry = this->objects_by_name.find(name);
    return entry == this->objects_by_name.end() ? object_version()
                                                : entry->second.version;
}

} // namespace endivehinge

#include <endivehinge/coordination/configuration_state.hpp>

#include <algorithm> // max, sort
#include <utility>   // move

namespace endivehinge
{

merge_result configuration_state::merge(change_set const & changes)
{
    if (changes.upto <= this->reached)
    {
        return merge_result::unchanged;
    }
    if (changes.after > this->reached)
    {
        return merge_result::gap;
    }
    for (auto const & object : changes.objects)
    {
        stored_object & held = this->by_name[object.name];
        // a version after upto would be no part of the set
        if (object.version > held.version && object.version <= changes.upto)
        {
            held = object;
        }
    }
    this->reached = changes.upto;
    return merge_result::advanced;
}

change_set configuration_state::changes_after(object_version after,
                                              std::size_t byte_bound) const
{
    change_set result{after, std::max(after, this->reached), {}};
    std::vector<stored_object const *> newer;
    for (auto const & [name, object] : this->by_name)
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
        if (!result.objects.empty() && bytes > byte_bound)
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
    return this->reached;
}

std::vector<stored_object> configuration_state::objects() const
{
    std::vector<stored_object> present;
    for (auto const & [name, object] : this->by_name)
    {
        if (!object.removed)
        {
            present.push_back(object);
        }
    }
    return present;
}

object_version configuration_state::version_of(std::string const & name) const
{
    auto const found = this->by_name.find(name);
    return found == this->by_name.end() ? object_version()
                                        : found->second.version;
}

} // namespace endivehinge

#include <endivehinge/detail/control/change_set_codec.hpp>

#include <endivehinge/coordination/configuration_entry.hpp>

namespace endivehinge::detail
{

wire::change_set encode(change_set const & changes)
{
    wire::change_set message;
    message.set_after(changes.after.value());
    message.set_upto(changes.upto.value());
    for (auto const & object : changes.objects)
    {
        auto & added = *message.add_objects();
        added.set_name(object.name);
        added.set_version(object.version.value());
        added.set_value(object.value);
        added.set_removed(object.removed);
    }
    return message;
}

change_set decode(wire::change_set const & message)
{
    change_set changes{
        object_version(message.after()), object_version(message.upto()), {}};
    for (auto const & object : message.objects())
    {
        changes.objects.push_back({configuration_kind,
                                   object.name(),
                                   object_version(object.version()),
                                   object.value(),
                                   object.removed()});
    }
    return changes;
}

} // namespace endivehinge::detail

#include <endivehinge/detail/control/change_set_codec.hpp>

#include <algorithm> // max

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

std::optional<change_set> decode(wire::change_set const & message,
                                 failure & reason)
{
    change_set changes{
        object_version(message.after()), object_version(message.upto()), {}};
    object_version newest = changes.after;
    bool good = changes.upto >= changes.after;
    for (auto const & object : message.objects())
    {
        object_version const version(object.version());
        good = good && version > changes.after && version <= changes.upto;
        newest = std::max(newest, version);
        changes.objects.push_back({configuration_kind,
                                   object.name(),
                                   version,
                                   object.value(),
                                   object.removed()});
    }
    if (!good || newest != changes.upto)
    {
        reason = {failure_id::invalid_message,
                  "read changes",
                  {},
                  "the versions do not fit together"};
        return std::nullopt;
    }
    return changes;
}

} // namespace endivehinge::detail

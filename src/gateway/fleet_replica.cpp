#include <endivehinge/detail/gateway/fleet_replica.hpp>

#include <memory> // make_shared

#include <absl/strings/str_cat.h>  // StrCat
#include <absl/strings/str_join.h> // StrJoin

namespace endivehinge::detail
{

fleet_replica::fleet_replica(fleet_view & decoded_view,
                             store_adapter const & codec,
                             event_log & events,
                             node_name own_node)
    : view(decoded_view)
    , adapter(codec)
    , log(events)
    , node(std::move(own_node))
{
}

void fleet_replica::on_change(handlers new_callbacks)
{
    this->callbacks = std::move(new_callbacks);
}

void fleet_replica::apply(object_kind kind,
                          object_changes const & changes,
                          std::string const & source)
{
    auto const old_version = this->copy_of(kind).version();
    auto const updates = this->copy_of(kind).apply(changes);
    this->callbacks.versions(this->versions());
    this->report_restore(kind, old_version, updates, source);
    switch (kind)
    {
    case object_kind::configuration:
        this->decode_configuration(updates, source);
        return;
    case object_kind::evacuations:
        if (!updates.objects.empty())
        {
            this->decode_evacuations(updates, source);
        }
        return;
    case object_kind::targets:
        this->decode_targets(updates);
        // an entry can be written and expire between two reads of the store, so
        // its absence is reported even without a deletion
        if (this->copy_of(kind).find(this->node.value()) == nullptr)
        {
            this->callbacks.entry(std::nullopt, this->copy_of(kind).version());
        }
        return;
    }
}

void fleet_replica::report_restore(object_kind kind,
                                   object_version old_version,
                                   object_changes const & updates,
                                   std::string const & source) const
{
    if (old_version.era() == store_era() ||
        updates.version.era() <= old_version.era())
    {
        return;
    }
    restored_copy report;
    report.kind = kind;
    report.old_version = old_version;
    report.new_version = updates.version;
    report.source = source;
    for (auto const & object : updates.objects)
    {
        report.missing_objects += object.deleted ? 1U : 0U;
        report.own_entry_missing =
            report.own_entry_missing ||
            (object.deleted && kind == object_kind::targets &&
             object.name == this->node.value());
    }
    this->callbacks.restored(report);
}

replica_versions fleet_replica::versions() const
{
    replica_versions versions;
    for (std::size_t i = 0; i < object_kind_count; ++i)
    {
        versions.kinds[i] = this->copies[i].version();
    }
    return versions;
}

object_changes fleet_replica::changes_since(object_kind kind,
                                            object_version base_version) const
{
    return this->copies[static_cast<std::size_t>(kind)].changes_since(
        base_version);
}

replicated_object const *
fleet_replica::find_target(node_name const & name) const
{
    return this->copies[static_cast<std::size_t>(object_kind::targets)].find(
        name.value());
}

object_copy & fleet_replica::copy_of(object_kind kind)
{
    return this->copies[static_cast<std::size_t>(kind)];
}

void fleet_replica::decode_configuration(object_changes const & updates,
                                         std::string const & source)
{
    for (auto const & object : updates.objects)
    {
        if (object.deleted || !this->adapter.is_current_configuration(object))
        {
            continue;
        }
        failure reason;
        auto parsed = this->adapter.read_configuration(object, reason);
        if (!parsed)
        {
            this->log.write("configuration_unreadable",
                            {{"reason", reason.describe()}, {"from", source}});
            continue;
        }
        auto const version = parsed->version;
        if (this->view.set_configuration(
                std::make_shared<routing_configuration>(std::move(*parsed))))
        {
            this->log.write(
                "configuration_in_force",
                {{"version", absl::StrCat(version)},
                 {"store_version", absl::StrCat(object.version.value())},
                 {"from", source}});
            this->callbacks.configuration();
        }
    }
}

void fleet_replica::decode_evacuations(object_changes const & updates,
                                       std::string const & source)
{
    auto domains = this->view.evacuated_domains();
    for (auto const & object : updates.objects)
    {
        if (object.deleted)
        {
            domains.erase(failure_domain(object.name));
        }
        else
        {
            domains.insert(failure_domain(object.name));
        }
    }
    this->log.write("evacuations_in_force",
                    {{"domains",
                      absl::StrJoin(domains,
                                    ",",
                                    [](std::string * out, auto const & domain)
                                    {
                                        out->append(domain.value());
                                    })},
                     {"store_version", absl::StrCat(updates.version.value())},
                     {"from", source}});
    this->view.set_evacuated(std::move(domains));
    this->callbacks.evacuations();
}

void fleet_replica::decode_targets(object_changes const & updates)
{
    for (auto const & object : updates.objects)
    {
        this->decode_target(object, updates.version);
    }
}

void fleet_replica::decode_target(replicated_object const & object,
                                  object_version version)
{
    node_name const name(object.name);
    failure reason;
    std::optional<target_entry> entry;
    if (!object.deleted)
    {
        entry = this->adapter.read_target(object, reason);
        if (!entry)
        {
            this->log.write("entry_unreadable",
                            {{"reason", reason.describe()}});
        }
    }
    if (name == this->node)
    {
        this->callbacks.entry(entry, object.deleted ? version : object.version);
        return;
    }
    if (entry)
    {
        this->view.set_target(*entry);
    }
    else
    {
        this->view.remove_target(name);
    }
}

} // namespace endivehinge::detail

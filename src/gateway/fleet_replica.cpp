#include <endivehinge/detail/gateway/fleet_replica.hpp>

#include <memory> // make_shared

#include <absl/strings/str_cat.h>  // StrCat
#include <absl/strings/str_join.h> // StrJoin

namespace endivehinge::detail
{

fleet_replica::fleet_replica(fleet_view & decoded,
                             store_adapter const & codec,
                             event_log & events,
                             node_name own)
    : view(decoded)
    , adapter(codec)
    , log(events)
    , node(std::move(own))
{
}

void fleet_replica::on_change(handlers chosen)
{
    this->actions = std::move(chosen);
}

void fleet_replica::apply(object_kind kind,
                          object_changes const & changes,
                          std::string const & from)
{
    auto const news = this->copy_of(kind).apply(changes);
    this->actions.versions(this->versions());
    switch (kind)
    {
    case object_kind::configuration:
        this->decode_configuration(news, from);
        return;
    case object_kind::evacuations:
        if (!news.objects.empty())
        {
            this->decode_evacuations(news, from);
        }
        return;
    case object_kind::targets:
        this->decode_targets(news);
        // an entry may be written and lapse between two views of the store
        if (this->copy_of(kind).find(this->node.value()) == nullptr)
        {
            this->actions.entry(std::nullopt, this->copy_of(kind).version());
        }
        return;
    }
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
                                            object_version older) const
{
    return this->copies[static_cast<std::size_t>(kind)].changes_since(older);
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

void fleet_replica::decode_configuration(object_changes const & news,
                                         std::string const & from)
{
    for (auto const & object : news.objects)
    {
        if (object.deleted || !this->adapter.is_current_configuration(object))
        {
            continue;
        }
        failure reason;
        auto read = this->adapter.read_configuration(object, reason);
        if (!read)
        {
            this->log.write("configuration_unreadable",
                            {{"reason", reason.describe()}, {"from", from}});
            continue;
        }
        auto const version = read->version;
        if (this->view.set_configuration(
                std::make_shared<routing_configuration>(std::move(*read))))
        {
            this->log.write(
                "configuration_in_force",
                {{"version", absl::StrCat(version)},
                 {"store_version", absl::StrCat(object.version.value())},
                 {"from", from}});
            this->actions.configuration();
        }
    }
}

void fleet_replica::decode_evacuations(object_changes const & news,
                                       std::string const & from)
{
    auto domains = this->view.evacuated_domains();
    for (auto const & object : news.objects)
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
                     {"store_version", absl::StrCat(news.version.value())},
                     {"from", from}});
    this->view.set_evacuated(std::move(domains));
    this->actions.evacuations();
}

void fleet_replica::decode_targets(object_changes const & news)
{
    for (auto const & object : news.objects)
    {
        this->decode_target(object, news.version);
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
        this->actions.entry(entry, object.deleted ? version : object.version);
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

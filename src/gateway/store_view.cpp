#include <endivehinge/detail/gateway/store_view.hpp>

#include <memory> // make_shared

#include <absl/strings/str_cat.h>  // StrCat
#include <absl/strings/str_join.h> // StrJoin

namespace endivehinge::detail
{

store_view::store_view(gateway_state & shared, store_adapter const & codec)
    : state(shared)
    , adapter(codec)
    , store(shared.io, shared.settings.store, upstream_options{})
    , configurations(shared.io,
                     this->store,
                     codec,
                     shared.log,
                     object_kind::configuration,
                     "configuration",
                     [&shared]
                     {
                         return shared.random();
                     })
    , evacuations(shared.io,
                  this->store,
                  codec,
                  shared.log,
                  object_kind::evacuations,
                  "evacuations",
                  [&shared]
                  {
                      return shared.random();
                  })
    , targets(shared.io,
              this->store,
              codec,
              shared.log,
              object_kind::targets,
              "targets",
              [&shared]
              {
                  return shared.random();
              })
    , publisher(shared.io,
                this->store,
                codec,
                shared.log,
                shared.settings.node,
                [&shared]
                {
                    return shared.random();
                })
{
}

void store_view::start(std::function<void()> on_configuration)
{
    this->configuration_action = std::move(on_configuration);
    auto const configured = [this](std::vector<store_object> const & objects)
    {
        this->configuration_objects(objects);
    };
    this->configurations.start({configured, configured});
    this->evacuations.start({[this](std::vector<store_object> const & objects)
                             {
                                 this->evacuations_listed(objects);
                             },
                             [this](std::vector<store_object> const & objects)
                             {
                                 this->evacuations_changed(objects);
                             }});
    this->targets.start({[this](std::vector<store_object> const & objects)
                         {
                             this->targets_listed(objects);
                         },
                         [this](std::vector<store_object> const & objects)
                         {
                             this->targets_changed(objects);
                         }});
}

void store_view::publish()
{
    // a node that stops leaves its entry: its next process finds it there
    if (auto const entry = this->state.target.entry())
    {
        this->state.fleet.set_target(*entry);
        this->publisher.publish(entry);
        return;
    }
    this->state.fleet.remove_target(this->state.settings.node);
    this->publisher.publish(std::nullopt);
}

void store_view::when_published(std::function<void()> action)
{
    this->publisher.when_published(std::move(action));
}

void store_view::peer_has(std::uint64_t version)
{
    auto const & known = this->state.fleet.configuration();
    if (!known || known->version < version)
    {
        this->configurations.refresh();
    }
}

void store_view::configuration_objects(
    std::vector<store_object> const & objects)
{
    for (auto const & object : objects)
    {
        if (object.deleted || !this->adapter.is_current_configuration(object))
        {
            continue;
        }
        failure reason;
        auto read = this->adapter.read_configuration(object, reason);
        if (!read)
        {
            this->state.log.write("configuration_unreadable",
                                  {{"reason", reason.describe()}});
            continue;
        }
        auto const version = read->version;
        if (this->state.fleet.set_configuration(
                std::make_shared<routing_configuration>(std::move(*read))))
        {
            this->state.log.write(
                "configuration_in_force",
                {{"version", absl::StrCat(version)},
                 {"store_version", absl::StrCat(object.version.value())}});
            this->configuration_action();
        }
    }
}

void store_view::evacuations_listed(std::vector<store_object> const & objects)
{
    this->evacuated.clear();
    for (auto const & object : objects)
    {
        this->evacuated.insert(object.name);
    }
    this->apply_evacuations();
}

void store_view::evacuations_changed(std::vector<store_object> const & objects)
{
    for (auto const & object : objects)
    {
        if (object.deleted)
        {
            this->evacuated.erase(object.name);
        }
        else
        {
            this->evacuated.insert(object.name);
        }
    }
    this->apply_evacuations();
}

void store_view::apply_evacuations()
{
    absl::flat_hash_set<failure_domain> domains;
    for (auto const & name : this->evacuated)
    {
        domains.insert(failure_domain(name));
    }
    this->state.fleet.set_evacuated(std::move(domains));
    this->state.target.set_evacuated(
        this->state.fleet.is_evacuated(this->state.settings.domain));
    this->state.log.write(
        "evacuations_in_force",
        {{"domains", absl::StrJoin(this->evacuated, ",")},
         {"store_version", absl::StrCat(this->evacuations.version().value())}});
}

void store_view::targets_listed(std::vector<store_object> const & objects)
{
    absl::flat_hash_set<node_name> nodes;
    bool own = false;
    for (auto const & object : objects)
    {
        nodes.insert(node_name(object.name));
        own = own || node_name(object.name) == this->state.settings.node;
        this->take_target(object);
    }
    nodes.insert(this->state.settings.node);
    this->state.fleet.retain_targets(nodes);
    if (!own)
    {
        this->publisher.observed(std::nullopt, this->targets.version());
    }
}

void store_view::targets_changed(std::vector<store_object> const & objects)
{
    for (auto const & object : objects)
    {
        this->take_target(object);
    }
}

void store_view::take_target(store_object const & object)
{
    bool const own = node_name(object.name) == this->state.settings.node;
    failure reason;
    std::optional<target_entry> entry;
    if (!object.deleted)
    {
        entry = this->adapter.read_target(object, reason);
        if (!entry)
        {
            this->state.log.write("entry_unreadable",
                                  {{"reason", reason.describe()}});
        }
    }
    if (own)
    {
        this->publisher.observed(entry, object.version);
        return;
    }
    if (entry)
    {
        this->state.fleet.set_target(*entry);
    }
    else
    {
        this->state.fleet.remove_target(node_name(object.name));
    }
}

} // namespace endivehinge::detail

#include <endivehinge/detail/gateway/fleet_replica.hpp>

#include <algorithm> // find
#include <memory>    // make_shared

#include <absl/strings/str_cat.h>  // StrCat
#include <absl/strings/str_join.h> // StrJoin

#include <endivehinge/detail/gateway/loop_time.hpp>

namespace endivehinge::detail
{
namespace
{

bool is_concluded(std::optional<rollout_status> const & status)
{
    return status && (status->state == rollout_state::completed ||
                      status->state == rollout_state::rolled_back);
}

/// @brief what a node knows of a roll-out if the store returned from a copy
/// that may lack its conclusion
known_rollout restore_conclusion(rollout_entry const & listed,
                                 rollout_status const & conclusion)
{
    known_rollout known{listed, true};
    auto & status = known.entry.status;
    if (is_concluded(status) &&
        status->target_version == conclusion.target_version)
    {
        return known;
    }
    auto const & version = conclusion.target_version;
    if (listed.order.target_version == version)
    {
        status = conclusion;
        known.is_conclusion_stored = false;
        return known;
    }
    // a later order: the next status of its coordinator keeps what the
    // conclusion excludes
    if (!status || status->target_version != listed.order.target_version)
    {
        status = conclusion;
    }
    else if (conclusion.state == rollout_state::rolled_back &&
             std::find(status->excluded.begin(),
                       status->excluded.end(),
                       version) == status->excluded.end())
    {
        status->excluded.push_back(version);
    }
    return known;
}

} // namespace

// ---------------------------------------------------------------------------
// decoding into the view
// ---------------------------------------------------------------------------

void fleet_replica::decode(object_kind kind,
                           object_changes const & updates,
                           std::string const & source)
{
    if (kind == object_kind::rollouts)
    {
        this->decode_rollouts(updates, source);
        return;
    }
    if (updates.objects.empty())
    {
        return;
    }
    if (kind == object_kind::evacuations)
    {
        this->decode_evacuations(updates, source);
    }
    else if (kind == object_kind::targets)
    {
        this->decode_targets(updates);
    }
}

void fleet_replica::apply_configuration(object_changes const & changes,
                                        copy_source const & source)
{
    auto newest = this->newest_configuration();
    static_cast<void>(
        this->apply_to_copy(object_kind::configuration, changes, source.name));
    // also at an earlier position: the operators' version decides
    for (auto const & object : changes.objects)
    {
        bool const is_known = newest && newest->content == object.content;
        if (!object.deleted && !is_known &&
            this->adapter.is_current_configuration(object) &&
            this->decode_configuration(object, source))
        {
            newest = object;
            this->configuration_name = object.name;
        }
    }
    if (newest)
    {
        this->texts.record(newest->content);
    }
    this->retained_configuration.reset();
    auto const * const stored = this->copy_of(object_kind::configuration)
                                    .find(this->configuration_name);
    if (newest && (stored == nullptr || stored->content != newest->content))
    {
        this->retained_configuration = std::move(newest);
    }
    this->callbacks.versions(this->versions());
}

std::optional<replicated_object> fleet_replica::newest_configuration() const
{
    if (this->retained_configuration)
    {
        return this->retained_configuration;
    }
    auto const * const stored = this->copy_of(object_kind::configuration)
                                    .find(this->configuration_name);
    return stored != nullptr ? std::optional(*stored) : std::nullopt;
}

bool fleet_replica::decode_configuration(replicated_object const & object,
                                         copy_source const & source)
{
    failure reason;
    auto parsed = this->adapter.read_configuration(
        object, this->view.configuration().get(), reason);
    if (!parsed)
    {
        this->log.write("configuration_unreadable",
                        {{"reason", reason.describe()}, {"from", source.name}});
        return false;
    }
    auto const version = parsed->version;
    if (this->view.set_configuration(
            std::make_shared<routing_configuration>(std::move(*parsed))))
    {
        this->log.write(
            "configuration_in_force",
            {{"version", absl::StrCat(version)},
             {"store_version", absl::StrCat(object.version.value())},
             {"from", source.name},
             {"routes",
              absl::StrCat(this->view.configuration()->routes.size())},
             {"bytes", absl::StrCat(object.content.size())},
             {"transfer_ms", format_milliseconds(source.transfer)}});
        this->callbacks.configuration();
        this->callbacks.copied(source);
    }
    return version == this->view.configuration()->version;
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

void fleet_replica::decode_rollouts(object_changes const & updates,
                                    std::string const & source)
{
    if (updates.version == object_version())
    {
        return;
    }
    // a copy has a position only after a complete list
    this->view.set_rollouts_known();
    for (auto const & object : updates.objects)
    {
        this->decode_rollout(object, source);
    }
}

void fleet_replica::decode_rollout(replicated_object const & object,
                                   std::string const & source)
{
    service_name const service(object.name);
    auto const conclusion = this->conclusions.find(service);
    bool const is_restored = conclusion != this->conclusions.end() &&
                             conclusion->second.era < object.version.era();
    failure reason;
    auto entry = object.deleted ? std::nullopt
                                : this->adapter.read_rollout(object, reason);
    if (!entry)
    {
        this->log.write(object.deleted ? "rollout_removed"
                                       : "rollout_unreadable",
                        {{"service", object.name},
                         {"reason", reason.describe()},
                         {"from", source}});
        if (!is_restored)
        {
            this->conclusions.erase(service);
            this->view.remove_rollout(service);
        }
        return;
    }
    known_rollout known{*entry, true};
    if (is_restored)
    {
        known = restore_conclusion(*entry, conclusion->second.status);
    }
    else if (is_concluded(entry->status))
    {
        this->conclusions[service] = {*entry->status, object.version.era()};
    }
    else
    {
        this->conclusions.erase(service);
    }
    this->log_rollout(known, source);
    this->view.set_rollout(known);
}

void fleet_replica::log_rollout(known_rollout const & known,
                                std::string const & source) const
{
    auto const & [order, status, version] = known.entry;
    auto const shown = status.value_or(rollout_status());
    this->log.write("rollout_known",
                    {{"service", order.service.value()},
                     {"target_version", order.target_version.value()},
                     {"duration_ms", format_milliseconds(order.length)},
                     {"state", endivehinge::to_string(state_of(known.entry))},
                     {"stage", endivehinge::to_string(shown.stage)},
                     {"share", absl::StrCat(shown.share)},
                     {"term", absl::StrCat(shown.term)},
                     {"writer", shown.coordinator.value()},
                     {"reason", shown.reason},
                     {"stored", known.is_conclusion_stored ? "1" : "0"},
                     {"store_version", absl::StrCat(version.value())},
                     {"from", source}});
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
    if (entry)
    {
        this->callbacks.any_entry(*entry);
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

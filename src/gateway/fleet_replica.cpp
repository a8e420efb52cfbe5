#include <endivehinge/detail/gateway/fleet_replica.hpp>

#include <algorithm> // find_if, remove_if
#include <memory>    // make_shared

#include <absl/strings/str_cat.h>  // StrCat
#include <absl/strings/str_join.h> // StrJoin

#include <endivehinge/core/stable_hash.hpp>
#include <endivehinge/detail/gateway/loop_time.hpp>

namespace endivehinge::detail
{
namespace
{

// from applying a restored list; nodes write their entries again within 2 s of
// the store's return, then a missing entry counts as gone
constexpr duration targets_settle_time = std::chrono::seconds(2);
// the operator repeats a lost evacuation within this time, the platform's limit
// for evacuations to come into force
constexpr duration evacuations_settle_time = std::chrono::seconds(5);
// 1 s shorter, because the operator may have ordered the same evacuation again
// before the list was read
constexpr duration lifted_evacuations_settle_time = std::chrono::seconds(4);

restored_list_options merge_options(object_kind kind)
{
    restored_list_options options;
    if (kind == object_kind::targets)
    {
        options.presence_settle_time = targets_settle_time;
        options.absence_settle_time = targets_settle_time;
        options.states_are_final = true;
    }
    else if (kind == object_kind::evacuations)
    {
        options.presence_settle_time = evacuations_settle_time;
        options.absence_settle_time = lifted_evacuations_settle_time;
    }
    return options;
}

} // namespace

fleet_replica::fleet_replica(fleet_view & decoded_view,
                             store_adapter const & codec,
                             event_log & events,
                             node_name own_node,
                             bool replicate_rollouts)
    : view(decoded_view)
    , adapter(codec)
    , log(events)
    , node(std::move(own_node))
    , follows_rollouts(replicate_rollouts)
    , merges{restored_list_merge(merge_options(object_kind::configuration)),
             restored_list_merge(merge_options(object_kind::evacuations)),
             restored_list_merge(merge_options(object_kind::targets)),
             restored_list_merge(merge_options(object_kind::rollouts))}
{
}

void fleet_replica::on_change(handlers new_callbacks)
{
    this->callbacks = std::move(new_callbacks);
}

void fleet_replica::apply(object_kind kind,
                          object_changes const & changes,
                          copy_source const & source)
{
    if (kind == object_kind::configuration)
    {
        this->apply_configuration(changes, source);
    }
    else
    {
        this->decode(
            kind, this->update_copy(kind, changes, source.name), source.name);
    }
    // an entry can be written and expire between two reads of the store, so its
    // absence is reported even without a deletion
    if (kind == object_kind::targets &&
        this->copy_of(kind).find(this->node.value()) == nullptr)
    {
        this->callbacks.entry(std::nullopt, this->copy_of(kind).version());
    }
}

void fleet_replica::settle(time_point now)
{
    for (auto const kind : {object_kind::evacuations, object_kind::targets})
    {
        auto const & copy = this->copy_of(kind);
        object_changes updates;
        updates.version = copy.version();
        for (auto const & name : this->merge_of(kind).settle(now))
        {
            auto const * const object = copy.find(name);
            updates.objects.push_back(
                object != nullptr
                    ? *object
                    : replicated_object{name, copy.version(), "", true});
        }
        this->decode(kind, updates, "settled store");
    }
}

std::optional<time_point> fleet_replica::next_settle_time() const
{
    std::optional<time_point> next;
    for (auto const & merge : this->merges)
    {
        auto const time = merge.next_settle_time();
        if (time && (!next || *time < *next))
        {
            next = time;
        }
    }
    return next;
}

std::vector<replicated_object const *>
fleet_replica::departures_to_remove(failure_domain const & domain,
                                    time_point now) const
{
    bool const any_domain =
        now - this->targets_restored_at >= targets_settle_time;
    std::vector<replicated_object const *> objects;
    for (auto const & name :
         this->merges[static_cast<std::size_t>(object_kind::targets)]
             .restored_deletions())
    {
        auto const * const object = this->find_target(node_name(name));
        failure reason;
        auto const entry = object != nullptr
                               ? this->adapter.read_target(*object, reason)
                               : std::nullopt;
        if (entry && (any_domain || entry->domain == domain))
        {
            objects.push_back(object);
        }
    }
    return objects;
}

replica_versions fleet_replica::versions() const
{
    replica_versions versions;
    for (std::size_t i = 0; i < versions.kinds.size(); ++i)
    {
        versions.kinds[i] = this->copies[i].version();
    }
    if (this->follows_rollouts)
    {
        versions.rollouts = this->version_of(object_kind::rollouts);
    }
    if (auto const & active = this->view.configuration())
    {
        versions.configuration_version = active->version;
    }
    return versions;
}

text_history & fleet_replica::configuration_texts()
{
    return this->texts;
}

object_version fleet_replica::version_of(object_kind kind) const
{
    return this->copy_of(kind).version();
}

object_changes fleet_replica::changes_since(object_kind kind,
                                            object_version base_version) const
{
    auto changes = this->copy_of(kind).changes_since(base_version);
    if (kind != object_kind::configuration || !this->retained_configuration)
    {
        return changes;
    }
    auto const & retained = *this->retained_configuration;
    auto const listed = std::find_if(changes.objects.begin(),
                                     changes.objects.end(),
                                     [&retained](auto const & object)
                                     {
                                         return object.name == retained.name;
                                     });
    if (listed != changes.objects.end() && !listed->deleted)
    {
        listed->content = retained.content;
    }
    else if (listed == changes.objects.end() && changes.complete)
    {
        changes.objects.push_back(
            {retained.name, changes.version, retained.content, false});
    }
    return changes;
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

object_copy const & fleet_replica::copy_of(object_kind kind) const
{
    return this->copies[static_cast<std::size_t>(kind)];
}

restored_list_merge & fleet_replica::merge_of(object_kind kind)
{
    return this->merges[static_cast<std::size_t>(kind)];
}

// ---------------------------------------------------------------------------
// lists of a restored store
// ---------------------------------------------------------------------------

object_changes fleet_replica::apply_to_copy(object_kind kind,
                                            object_changes const & changes,
                                            std::string const & source)
{
    auto & copy = this->copy_of(kind);
    auto const old_version = copy.version();
    auto updates = copy.apply(changes);
    this->callbacks.versions(this->versions());
    this->report_restore(kind, old_version, updates, source);
    return updates;
}

object_changes fleet_replica::update_copy(object_kind kind,
                                          object_changes const & changes,
                                          std::string const & source)
{
    if (kind == object_kind::rollouts)
    {
        // conclusions outlast a restore by themselves, see decode_rollout()
        return this->apply_to_copy(kind, changes, source);
    }
    auto & copy = this->copy_of(kind);
    bool const is_restored = changes.complete &&
                             copy.version() != object_version() &&
                             copy.version().era() < changes.version.era();
    std::vector<restored_object> compared;
    if (is_restored)
    {
        compared = this->compare_with_copy(kind, changes);
    }
    auto updates = this->apply_to_copy(kind, changes, source);
    if (is_restored)
    {
        this->merge_restored_list(kind, std::move(compared), updates, source);
    }
    else
    {
        this->record_changes(kind, updates);
    }
    auto const & merge = this->merge_of(kind);
    updates.objects.erase(std::remove_if(updates.objects.begin(),
                                         updates.objects.end(),
                                         [&merge](auto const & object)
                                         {
                                             return merge.holds(object.name);
                                         }),
                          updates.objects.end());
    return updates;
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

void fleet_replica::record_changes(object_kind kind,
                                   object_changes const & updates)
{
    auto & merge = this->merge_of(kind);
    for (auto const & object : updates.objects)
    {
        if (object.deleted && object.content.empty())
        {
            merge.record_repeated_deletion(object.name);
            continue;
        }
        merge.record_change(object.name);
        bool const is_departure =
            object.deleted || this->names_departed_target(kind, object);
        if (is_departure && !this->is_own_entry(kind, object.name))
        {
            merge.record_deletion(object.name,
                                  this->digest_of(kind,
                                                  object,
                                                  object.deleted
                                                      ? updates.version
                                                      : object.version));
        }
    }
}

void fleet_replica::merge_restored_list(object_kind kind,
                                        std::vector<restored_object> objects,
                                        object_changes const & updates,
                                        std::string const & source)
{
    std::size_t missing_count = 0;
    for (auto const & object : updates.objects)
    {
        if (object.deleted && !this->is_own_entry(kind, object.name))
        {
            objects.push_back({object.name,
                               this->digest_of(kind, object, object.version),
                               std::nullopt});
            missing_count += 1;
        }
    }
    auto const now = loop_now();
    auto const held_count = this->merge_of(kind).apply(objects, now);
    if (kind == object_kind::targets)
    {
        this->targets_restored_at = now;
    }
    this->log.write("restored_list_merged",
                    {{"kind", to_string(kind)},
                     {"objects", absl::StrCat(objects.size())},
                     {"missing", absl::StrCat(missing_count)},
                     {"held", absl::StrCat(held_count)},
                     {"from", source}});
    this->callbacks.settling();
}

std::vector<restored_object>
fleet_replica::compare_with_copy(object_kind kind,
                                 object_changes const & changes) const
{
    std::vector<restored_object> compared;
    for (auto const & object : changes.objects)
    {
        if (object.deleted || this->is_own_entry(kind, object.name))
        {
            continue;
        }
        restored_object entry;
        entry.name = object.name;
        if (auto const * const known = this->copy_of(kind).find(object.name))
        {
            entry.known = this->digest_of(kind, *known, known->version);
        }
        entry.listed = this->digest_of(kind, object, object.version);
        compared.push_back(std::move(entry));
    }
    return compared;
}

object_digest fleet_replica::digest_of(object_kind kind,
                                       replicated_object const & object,
                                       object_version version) const
{
    object_digest digest;
    digest.version = version;
    digest.content = stable_hash(object.content);
    digest.subject = digest.content;
    failure reason;
    if (kind == object_kind::targets)
    {
        if (auto const entry = this->adapter.read_target(object, reason))
        {
            digest.subject = stable_hash(
                absl::StrCat(entry->id.value(), "/", entry->started_ms));
        }
    }
    return digest;
}

bool fleet_replica::names_departed_target(
    object_kind kind, replicated_object const & object) const
{
    failure reason;
    auto const entry = kind == object_kind::targets
                           ? this->adapter.read_target(object, reason)
                           : std::nullopt;
    return entry && entry->state == target_state::removed;
}

bool fleet_replica::is_own_entry(object_kind kind,
                                 std::string const & name) const
{
    return kind == object_kind::targets && name == this->node.value();
}

} // namespace endivehinge::detail

#include <endivehinge/detail/commands/configuration_editor.hpp>

#include <algorithm> // max
#include <utility>   // move

#include <absl/container/btree_map.h> // btree_map
#include <absl/random/random.h>       // BitGen, Uniform
#include <absl/strings/match.h>       // StartsWith
#include <absl/strings/str_cat.h>     // StrCat, Hex

#include <endivehinge/detail/settings/configuration_writer.hpp>

namespace endivehinge::detail
{
namespace
{

constexpr char const * service_prefix = "service.";

using objects_by_name = absl::btree_map<std::string, stored_object>;

std::string new_write_id()
{
    absl::BitGen random;
    return absl::StrCat(absl::Hex(absl::Uniform<std::uint64_t>(random)),
                        absl::Hex(absl::Uniform<std::uint64_t>(random)));
}

// Replaces the stored value in a version conflict by a text that names the
// operator who wrote it.
failure describe_conflict(failure const & reason)
{
    if (reason.id != failure_id::version_conflict)
    {
        return reason;
    }
    failure ignored_reason;
    auto const stored_entry =
        configuration_entry::parse(reason.peer, reason.detail, ignored_reason);
    std::string detail_text = reason.detail;
    if (stored_entry.has_value())
    {
        detail_text =
            absl::StrCat("operator '", stored_entry->author, "' came first");
        if (stored_entry->subject != entry_subject::service)
        {
            absl::StrAppend(&detail_text,
                            stored_entry->drained ? " and drained it"
                                                  : " and put it back");
        }
    }
    return {reason.id,
            reason.step,
            reason.peer,
            absl::StrCat(detail_text,
                         "; that change was kept, review it and retry")};
}

std::optional<objects_by_name> read_services(object_store & store,
                                             failure & reason)
{
    auto const objects = store.list(configuration_kind, reason);
    if (!objects.has_value())
    {
        return std::nullopt;
    }
    objects_by_name services;
    for (auto const & object : *objects)
    {
        // A service object whose value does not parse is included, so that it
        // is overwritten or removed like any other.
        if (absl::StartsWith(object.name, service_prefix) && !object.removed)
        {
            services[object.name] = object;
        }
    }
    return services;
}

bool has_text(stored_object const & object, std::string const & text)
{
    failure ignored_reason;
    auto const entry =
        configuration_entry::parse(object.name, object.value, ignored_reason);
    return entry.has_value() && entry->text == text;
}

} // namespace

configuration_editor::configuration_editor(object_store & platform,
                                           retry_policy & pause,
                                           std::string author_name)
    : store(platform)
    , writer(platform, pause)
    , author(std::move(author_name))
{
}

bool configuration_editor::apply(configuration const & new_configuration,
                                 std::optional<object_version> expected,
                                 edit_result & result,
                                 failure & reason)
{
    auto stored_services = read_services(this->store, reason);
    if (!stored_services.has_value())
    {
        return false;
    }
    for (auto const & [name, object] : *stored_services)
    {
        if (expected.has_value() && object.version > *expected)
        {
            reason = describe_conflict({failure_id::version_conflict,
                                        "compare with --expect-version",
                                        name,
                                        object.value});
            return false;
        }
    }
    for (auto const & service : new_configuration.services)
    {
        configuration_entry entry;
        entry.name = service.name.value();
        entry.text = write_service_configuration(service);
        auto const stored = stored_services->find(entry.object_name());
        object_version version;
        bool is_unchanged = false;
        if (stored != stored_services->end())
        {
            version = stored->second.version;
            is_unchanged = has_text(stored->second, entry.text);
            stored_services->erase(stored);
        }
        result.version = std::max(result.version, version);
        if (!is_unchanged &&
            !this->write(std::move(entry), version, result, reason))
        {
            return false;
        }
    }
    // Removals come last, so that a service exists as long as others depend on
    // it.
    for (auto const & [name, object] : *stored_services)
    {
        if (!this->remove(object, result, reason))
        {
            return false;
        }
    }
    return true;
}

bool configuration_editor::set_drained(entry_subject subject,
                                       std::string const & name,
                                       bool drained,
                                       edit_result & result,
                                       failure & reason)
{
    configuration_entry entry;
    entry.subject = subject;
    entry.name = name;
    entry.drained = drained;
    auto const stored =
        this->store.get(configuration_kind, entry.object_name(), reason);
    if (!stored.has_value() && reason.id != failure_id::not_found)
    {
        return false;
    }
    bool is_drained = false;
    object_version version;
    if (stored.has_value())
    {
        failure ignored_reason;
        auto const stored_entry = configuration_entry::parse(
            stored->name, stored->value, ignored_reason);
        is_drained = stored_entry.has_value() && stored_entry->drained;
        version = stored->version;
    }
    result.version = std::max(result.version, version);
    if (is_drained == drained)
    {
        return true;
    }
    return this->write(std::move(entry), version, result, reason);
}

bool configuration_editor::write(configuration_entry entry,
                                 object_version expected,
                                 edit_result & result,
                                 failure & reason)
{
    entry.author = this->author;
    entry.write_id = new_write_id();
    auto const version = this->writer.put(configuration_kind,
                                          entry.object_name(),
                                          expected,
                                          entry.to_value(),
                                          reason);
    if (!version.has_value())
    {
        reason = describe_conflict(reason);
        return false;
    }
    result.version = std::max(result.version, *version);
    result.changed.push_back(entry.object_name());
    return true;
}

bool configuration_editor::remove(stored_object const & object,
                                  edit_result & result,
                                  failure & reason)
{
    auto const version = this->writer.remove(
        configuration_kind, object.name, object.version, reason);
    if (!version.has_value())
    {
        reason = describe_conflict(reason);
        return false;
    }
    result.version = std::max(result.version, *version);
    result.changed.push_back(object.name);
    return true;
}

} // namespace endivehinge::detail

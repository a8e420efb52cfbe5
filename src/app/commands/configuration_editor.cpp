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

// puts the value that won into words
failure explain(failure const & reason)
{
    if (reason.id != failure_id::version_conflict)
    {
        return reason;
    }
    failure ignored;
    auto const winner =
        configuration_entry::parse(reason.peer, reason.detail, ignored);
    std::string said = reason.detail;
    if (winner.has_value())
    {
        said = absl::StrCat("operator '", winner->author, "' came first");
        if (winner->subject != entry_subject::service)
        {
            absl::StrAppend(&said,
                            winner->drained ? " and drained it"
                                            : " and put it back");
        }
    }
    return {reason.id,
            reason.step,
            reason.peer,
            absl::StrCat(said, "; theirs stays, look and decide again")};
}

std::optional<objects_by_name> read_services(object_store & store,
                                             failure & reason)
{
    auto const listed = store.list(configuration_kind, reason);
    if (!listed.has_value())
    {
        return std::nullopt;
    }
    objects_by_name found;
    for (auto const & object : *listed)
    {
        // one that does not read is written over or removed as any other
        if (absl::StartsWith(object.name, service_prefix) && !object.removed)
        {
            found[object.name] = object;
        }
    }
    return found;
}

bool has_text(stored_object const & object, std::string const & text)
{
    failure ignored;
    auto const entry =
        configuration_entry::parse(object.name, object.value, ignored);
    return entry.has_value() && entry->text == text;
}

} // namespace

configuration_editor::configuration_editor(object_store & platform,
                                           retry_policy & pause,
                                           std::string who)
    : store(platform)
    , writer(platform, pause)
    , author(std::move(who))
{
}

bool configuration_editor::apply(configuration const & next,
                                 std::optional<object_version> expected,
                                 edit_result & done,
                                 failure & reason)
{
    auto present = read_services(this->store, reason);
    if (!present.has_value())
    {
        return false;
    }
    for (auto const & [name, object] : *present)
    {
        if (expected.has_value() && object.version > *expected)
        {
            reason = explain({failure_id::version_conflict,
                              "compare with --expect-version",
                              name,
                              object.value});
            return false;
        }
    }
    for (auto const & service : next.services)
    {
        configuration_entry entry;
        entry.name = service.name.value();
        entry.text = write_service_configuration(service);
        auto const held = present->find(entry.object_name());
        object_version version;
        bool same = false;
        if (held != present->end())
        {
            version = held->second.version;
            same = has_text(held->second, entry.text);
            present->erase(held);
        }
        done.version = std::max(done.version, version);
        if (!same && !this->write(std::move(entry), version, done, reason))
        {
            return false;
        }
    }
    // last, so that what others depend on is there until they do not
    for (auto const & [name, object] : *present)
    {
        if (!this->remove(object, done, reason))
        {
            return false;
        }
    }
    return true;
}

bool configuration_editor::set_drained(entry_subject subject,
                                       std::string const & name,
                                       bool drained,
                                       edit_result & done,
                                       failure & reason)
{
    configuration_entry entry;
    entry.subject = subject;
    entry.name = name;
    entry.drained = drained;
    auto const held =
        this->store.get(configuration_kind, entry.object_name(), reason);
    if (!held.has_value() && reason.id != failure_id::not_found)
    {
        return false;
    }
    bool is_drained = false;
    object_version version;
    if (held.has_value())
    {
        failure ignored;
        auto const read =
            configuration_entry::parse(held->name, held->value, ignored);
        is_drained = read.has_value() && read->drained;
        version = held->version;
    }
    done.version = std::max(done.version, version);
    if (is_drained == drained)
    {
        return true;
    }
    return this->write(std::move(entry), version, done, reason);
}

bool configuration_editor::write(configuration_entry entry,
                                 object_version expected,
                                 edit_result & done,
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
        reason = explain(reason);
        return false;
    }
    done.version = std::max(done.version, *version);
    done.changed.push_back(entry.object_name());
    return true;
}

bool configuration_editor::remove(stored_object const & object,
                                  edit_result & done,
                                  failure & reason)
{
    auto const version = this->writer.remove(
        configuration_kind, object.name, object.version, reason);
    if (!version.has_value())
    {
        reason = explain(reason);
        return false;
    }
    done.version = std::max(done.version, *version);
    done.changed.push_back(object.name);
    return true;
}

} // namespace endivehinge::detail

#include <common/object_table.hpp>

#include <absl/strings/str_cat.h> // StrCat
#include <absl/time/time.h>       // FromChrono

namespace endivehinge::tools
{
namespace
{

constexpr std::size_t most_changes_kept = 4096;

} // namespace

std::optional<stored_object> object_table::get(std::string const & kind,
                                               std::string const & name,
                                               failure & reason)
{
    absl::MutexLock lock(&this->mutex);
    auto const found = this->objects.find({kind, name});
    if (found == this->objects.end() || found->second.removed)
    {
        reason = {failure_id::not_found, "get", {}, name};
        return std::nullopt;
    }
    return found->second;
}

std::optional<std::vector<stored_object>>
object_table::list(std::string const & kind, failure &)
{
    absl::MutexLock lock(&this->mutex);
    std::vector<stored_object> found;
    for (auto const & [key, object] : this->objects)
    {
        if (key.first == kind && !object.removed)
        {
            found.push_back(object);
        }
    }
    return found;
}

std::optional<object_version> object_table::put(std::string const & kind,
                                                std::string const & name,
                                                object_version expected,
                                                std::string const & value,
                                                failure & reason)
{
    return this->write({kind, name, {}, value, false}, expected, reason);
}

std::optional<object_version> object_table::remove(std::string const & kind,
                                                   std::string const & name,
                                                   object_version expected,
                                                   failure & reason)
{
    return this->write({kind, name, {}, {}, true}, expected, reason);
}

std::optional<watch_result> object_table::watch(std::string const & kind,
                                                object_version after,
                                                duration patience,
                                                failure &)
{
    absl::MutexLock lock(&this->mutex);
    auto const has_changes = [this, &kind, after]()
    {
        return !this->changes_after(kind, after).empty();
    };
    this->mutex.AwaitWithTimeout(absl::Condition(&has_changes),
                                 absl::FromChrono(patience));
    return watch_result{this->changes_after(kind, after),
                        object_version(this->newest)};
}

object_version object_table::latest() const
{
    absl::MutexLock lock(&this->mutex);
    return object_version(this->newest);
}

std::optional<stored_object> object_table::get_at(std::string const & kind,
                                                  std::string const & name,
                                                  object_version when) const
{
    absl::MutexLock lock(&this->mutex);
    return this->find_at({kind, name}, when);
}

std::vector<stored_object> object_table::list_at(std::string const & kind,
                                                 object_version when) const
{
    absl::MutexLock lock(&this->mutex);
    std::vector<stored_object> found;
    for (auto const & [key, object] : this->objects)
    {
        if (key.first != kind)
        {
            continue;
        }
        if (auto old = this->find_at(key, when))
        {
            found.push_back(*std::move(old));
        }
    }
    return found;
}

std::optional<stored_object>
object_table::find_at(std::pair<std::string, std::string> const & key,
                      object_version when) const
{
    for (auto one = this->history.rbegin(); one != this->history.rend(); ++one)
    {
        if (one->kind == key.first && one->name == key.second &&
            one->version <= when)
        {
            return one->removed ? std::nullopt : std::optional(*one);
        }
    }
    auto const now = this->objects.find(key);
    bool const is_old = now != this->objects.end() && !now->second.removed &&
                        now->second.version <= when;
    return is_old ? std::optional(now->second) : std::nullopt;
}

std::optional<object_version> object_table::write(stored_object next,
                                                  object_version expected,
                                                  failure & reason)
{
    absl::MutexLock lock(&this->mutex);
    auto & slot = this->objects[{next.kind, next.name}];
    object_version const current =
        slot.removed ? object_version() : slot.version;
    if (current != expected)
    {
        reason = {failure_id::version_conflict,
                  "put",
                  {},
                  absl::StrCat("the version is ", current.value())};
        return std::nullopt;
    }
    next.version = object_version(++this->newest);
    this->history.push_back(next);
    if (this->history.size() > most_changes_kept)
    {
        this->history.pop_front();
    }
    slot = std::move(next);
    return slot.version;
}

std::vector<stored_object>
object_table::changes_after(std::string const & kind,
                            object_version after) const
{
    std::vector<stored_object> found;
    for (auto const & [key, object] : this->objects)
    {
        if (key.first == kind && object.version > after)
        {
            found.push_back(object);
        }
    }
    return found;
}

} // namespace endivehinge::tools

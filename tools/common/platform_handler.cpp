#include <common/platform_handler.hpp>

#include <algorithm> // min
#include <limits>    // numeric_limits
#include <vector>    // vector

#include <absl/time/clock.h> // Now, SleepFor
#include <nlohmann/json.hpp> // json

#include <common/connection_state.hpp>
#include <common/json_response.hpp>
#include <common/query.hpp>

namespace endivehinge::tools
{
namespace
{

using nlohmann::json;

constexpr std::uint64_t default_wait_ms = 1000;
// an outage ends the watches that wait within this time
constexpr absl::Duration watch_step = absl::Milliseconds(50);
constexpr absl::Duration hang_step = absl::Milliseconds(50);
constexpr std::size_t value_bytes_limit = std::size_t{1024} * 1024;

http_response error_response(failure const & reason)
{
    int const status = reason.id == failure_id::version_conflict
                           ? status_conflict
                           : status_not_found;
    return json_response(status, {{"error", reason.describe()}});
}

json write_object(stored_object const & object)
{
    return {{"kind", object.kind},
            {"name", object.name},
            {"version", object.version.value()},
            {"value", object.value},
            {"removed", object.removed}};
}

json write_objects(std::vector<stored_object> const & objects)
{
    json list = json::array();
    for (auto const & object : objects)
    {
        list.push_back(write_object(object));
    }
    return list;
}

http_response watch_response(std::vector<stored_object> const & changes,
                             object_version version)
{
    return json_response(
        status_ok,
        {{"changes", write_objects(changes)}, {"version", version.value()}});
}

http_response version_response(std::optional<object_version> const & version,
                               failure const & reason)
{
    return version.has_value()
               ? json_response(status_ok, {{"version", version->value()}})
               : error_response(reason);
}

bool is_write(http_request const & message)
{
    return message.method == "PUT" || message.method == "DELETE";
}

} // namespace

platform_handler::platform_handler(
    object_table & table, behaviour_holder<platform_behaviour> & behaviour)
    : objects(table)
    , holder(behaviour)
{
}

http_response platform_handler::handle(http_request message,
                                       detail::http_connection connection)
{
    platform_behaviour const behaviour = this->holder.get();
    bool const writes_now = is_write(message);
    if (auto failed = this->fail(writes_now, behaviour, connection))
    {
        return *std::move(failed);
    }
    http_response response = this->dispatch(message, behaviour, connection);
    if (writes_now && response.status == status_ok && this->loses_answer())
    {
        cut(connection);
    }
    return response;
}

void platform_handler::on_change()
{
    this->answers_to_lose = this->holder.get().lost_write_answers;
}

json platform_handler::report() const
{
    return {{"reads", this->reads.total()},
            {"writes", this->writes.total()},
            {"watches", this->watches.total()},
            {"most_reads_in_a_second", this->reads.peak()},
            {"most_writes_in_a_second", this->writes.peak()},
            {"reads_beyond_limit", this->reads.beyond_limit()},
            {"writes_beyond_limit", this->writes.beyond_limit()},
            {"waiting_watches", this->waiting_watches.load()},
            {"version", this->objects.latest().value()}};
}

// outages, slow answers and limits come before the call takes effect
std::optional<http_response>
platform_handler::fail(bool writes_now,
                       platform_behaviour const & behaviour,
                       detail::http_connection connection)
{
    absl::Time const now = absl::Now();
    bool const is_within =
        writes_now ? this->writes.count(now, behaviour.writes_per_second)
                   : this->reads.count(now, behaviour.reads_per_second);
    absl::SleepFor(absl::Milliseconds(behaviour.slow_ms));
    auto const is_over = [](platform_behaviour const & current)
    {
        return current.outage != "hang";
    };
    bool hung = false;
    while (!this->holder.await(is_over, hang_step) && !has_hung_up(connection))
    {
        hung = true;
    }
    if (hung || this->holder.get().outage != "none")
    {
        cut(connection);
        return json_response(status_unavailable, {{"error", "outage"}});
    }
    if (!is_within && behaviour.enforces_limits != 0)
    {
        return json_response(status_too_many_requests,
                             {{"error", "too many calls in this second"}});
    }
    return std::nullopt;
}

http_response platform_handler::dispatch(http_request const & message,
                                         platform_behaviour const & behaviour,
                                         detail::http_connection connection)
{
    auto const segments = path_segments(message.path);
    if (segments.size() == 2 && segments[0] == "objects")
    {
        return this->list(segments[1], behaviour);
    }
    if (segments.size() == 3 && segments[0] == "objects")
    {
        return this->access(message, segments[1], segments[2], behaviour);
    }
    if (segments.size() == 2 && segments[0] == "watch")
    {
        return this->watch(segments[1], message.path, behaviour, connection);
    }
    return json_response(status_not_found, {{"error", "no such path"}});
}

http_response platform_handler::list(std::string const & kind,
                                     platform_behaviour const & behaviour)
{
    failure reason;
    auto const found =
        behaviour.stale_versions > 0
            ? this->objects.list_at(kind, this->earlier(behaviour))
            : *this->objects.list(kind, reason);
    return json_response(status_ok, {{"objects", write_objects(found)}});
}

http_response platform_handler::access(http_request const & message,
                                       std::string const & kind,
                                       std::string const & name,
                                       platform_behaviour const & behaviour)
{
    failure reason{failure_id::not_found, "get", {}, name};
    object_version const expected(query_number(message.path, "if_version", 0));
    if (message.method == "PUT")
    {
        if (message.body.size() > value_bytes_limit)
        {
            return json_response(status_too_large,
                                 {{"error", "a value is a megabyte at most"}});
        }
        return version_response(
            this->objects.put(kind, name, expected, message.body, reason),
            reason);
    }
    if (message.method == "DELETE")
    {
        return version_response(
            this->objects.remove(kind, name, expected, reason), reason);
    }
    auto const found =
        behaviour.stale_versions > 0
            ? this->objects.get_at(kind, name, this->earlier(behaviour))
            : this->objects.get(kind, name, reason);
    return found.has_value() ? json_response(status_ok, write_object(*found))
                             : error_response(reason);
}

// in short steps, so that an outage ends the watches that wait
http_response platform_handler::watch(std::string const & kind,
                                      std::string const & path,
                                      platform_behaviour const & behaviour,
                                      detail::http_connection connection)
{
    object_version const after(query_number(path, "after", 0));
    static_cast<void>(this->watches.count(
        absl::Now(), std::numeric_limits<std::int64_t>::max()));
    if (behaviour.stale_versions > 0)
    {
        return this->old_watch(kind, after, behaviour);
    }
    absl::Time const end =
        absl::Now() + absl::Milliseconds(static_cast<std::int64_t>(
                          query_number(path, "wait_ms", default_wait_ms)));
    ++this->waiting_watches;
    failure reason;
    watch_result result;
    do
    {
        auto const step = std::min(end - absl::Now(), watch_step);
        result = *this->objects.watch(
            kind, after, absl::ToChronoNanoseconds(step), reason);
        if (this->holder.get().outage != "none")
        {
            cut(connection);
            break;
        }
    } while (result.changes.empty() && absl::Now() < end &&
             !has_hung_up(connection));
    --this->waiting_watches;
    return watch_response(result.changes, result.version);
}

// tells changes that the watcher has seen, and a version it is past
http_response platform_handler::old_watch(std::string const & kind,
                                          object_version after,
                                          platform_behaviour const & behaviour)
{
    auto const lag = static_cast<std::uint64_t>(behaviour.stale_versions);
    object_version const from(after.value() > lag ? after.value() - lag : 0);
    object_version const until = this->earlier(behaviour);
    std::vector<stored_object> changes;
    for (auto & object : this->objects.list_at(kind, until))
    {
        if (object.version > from)
        {
            changes.push_back(std::move(object));
        }
    }
    absl::SleepFor(watch_step);
    return watch_response(changes, until);
}

object_version
platform_handler::earlier(platform_behaviour const & behaviour) const
{
    auto const lag = static_cast<std::uint64_t>(behaviour.stale_versions);
    std::uint64_t const newest = this->objects.latest().value();
    return object_version(newest > lag ? newest - lag : 0);
}

bool platform_handler::loses_answer()
{
    auto left = this->answers_to_lose.load();
    while (left > 0)
    {
        if (this->answers_to_lose.compare_exchange_weak(left, left - 1))
        {
            return true;
        }
    }
    return false;
}

} // namespace endivehinge::tools

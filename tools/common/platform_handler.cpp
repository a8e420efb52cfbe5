#include <common/platform_handler.hpp>

#include <vector> // vector

#include <nlohmann/json.hpp> // json

#include <common/query.hpp>

namespace endivehinge::tools
{
namespace
{

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr std::uint64_t default_wait_ms = 1000;

http_response json_response(int status, json const & body)
{
    http_response response;
    response.status = status;
    response.headers.set("Content-Type", "application/json");
    response.body = body.dump();
    return response;
}

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

http_response version_response(std::optional<object_version> const & version,
                               failure const & reason)
{
    return version.has_value()
               ? json_response(status_ok, {{"version", version->value()}})
               : error_response(reason);
}

} // namespace

platform_handler::platform_handler(object_table & table)
    : objects(table)
{
}

http_response platform_handler::handle(http_request message,
                                       detail::http_connection)
{
    auto const segments = path_segments(message.path);
    if (segments.size() == 2 && segments[0] == "objects")
    {
        return this->list(segments[1]);
    }
    if (segments.size() == 3 && segments[0] == "objects")
    {
        return this->access(message, segments[1], segments[2]);
    }
    if (segments.size() == 2 && segments[0] == "watch")
    {
        return this->watch(segments[1], message.path);
    }
    return json_response(status_not_found, {{"error", "no such path"}});
}

http_response platform_handler::list(std::string const & kind)
{
    failure reason;
    auto const found = this->objects.list(kind, reason);
    return json_response(status_ok, {{"objects", write_objects(*found)}});
}

http_response platform_handler::access(http_request const & message,
                                       std::string const & kind,
                                       std::string const & name)
{
    failure reason;
    object_version const expected(query_number(message.path, "if_version", 0));
    if (message.method == "PUT")
    {
        return version_response(
            this->objects.put(kind, name, expected, message.body, reason),
            reason);
    }
    if (message.method == "DELETE")
    {
        return version_response(
            this->objects.remove(kind, name, expected, reason), reason);
    }
    auto const found = this->objects.get(kind, name, reason);
    return found.has_value() ? json_response(status_ok, write_object(*found))
                             : error_response(reason);
}

http_response platform_handler::watch(std::string const & kind,
                                      std::string const & path)
{
    failure reason;
    auto const result =
        this->objects.watch(kind,
                            object_version(query_number(path, "after", 0)),
                            std::chrono::milliseconds(
                                query_number(path, "wait_ms", default_wait_ms)),
                            reason);
    return json_response(status_ok,
                         {{"changes", write_objects(result->changes)},
                          {"version", result->version.value()}});
}

} // namespace endivehinge::tools

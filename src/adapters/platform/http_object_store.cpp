#include <endivehinge/detail/platform/http_object_store.hpp>

#include <utility> // move

#include <absl/strings/str_cat.h> // StrCat
#include <nlohmann/json.hpp>      // json

namespace endivehinge::detail
{
namespace
{

using nlohmann::json;

constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_too_many_requests = 429;
constexpr int lowest_error_status = 400;

failure_id classify(int status)
{
    switch (status)
    {
    case status_not_found:
        return failure_id::not_found;
    case status_conflict:
        return failure_id::version_conflict;
    case status_too_many_requests:
        return failure_id::rate_limited;
    default:
        return failure_id::store_unavailable;
    }
}

std::string path_of(std::string const & kind, std::string const & name)
{
    return absl::StrCat("/objects/", kind, "/", name);
}

// reads a body by a function; a body of the wrong shape is a failure
template <class Read>
auto read_json(std::string const & body, failure & reason, Read read)
    -> std::optional<decltype(read(json()))>
{
    json const parsed = json::parse(body, nullptr, false);
    if (!parsed.is_discarded())
    {
        try
        {
            return read(parsed);
        }
        catch (json::exception const & error)
        {
            reason.detail = error.what();
        }
    }
    reason.id = failure_id::invalid_message;
    reason.step = "read platform answer";
    return std::nullopt;
}

stored_object read_object(json const & source)
{
    stored_object object;
    object.kind = source.at("kind").get<std::string>();
    object.name = source.at("name").get<std::string>();
    object.version = object_version(source.at("version").get<std::uint64_t>());
    object.value = source.at("value").get<std::string>();
    object.removed = source.value("removed", false);
    return object;
}

std::vector<stored_object> read_objects(json const & source)
{
    std::vector<stored_object> objects;
    for (auto const & element : source)
    {
        objects.push_back(read_object(element));
    }
    return objects;
}

object_version read_version(json const & source)
{
    return object_version(source.at("version").get<std::uint64_t>());
}

} // namespace

http_object_store::http_object_store(endpoint platform,
                                     http_client & exchanges,
                                     duration timeout)
    : address(std::move(platform))
    , client(exchanges)
    , call_timeout(timeout)
{
}

std::optional<stored_object> http_object_store::get(std::string const & kind,
                                                    std::string const & name,
                                                    failure & reason)
{
    auto const body =
        this->call("GET", path_of(kind, name), {}, this->call_timeout, reason);
    if (!body.has_value())
    {
        return std::nullopt;
    }
    return read_json(*body, reason, &read_object);
}

std::optional<std::vector<stored_object>>
http_object_store::list(std::string const & kind, failure & reason)
{
    auto const body = this->call(
        "GET", absl::StrCat("/objects/", kind), {}, this->call_timeout, reason);
    if (!body.has_value())
    {
        return std::nullopt;
    }
    return read_json(*body,
                     reason,
                     [](json const & source)
                     {
                         return read_objects(source.at("objects"));
                     });
}

std::optional<object_version> http_object_store::put(std::string const & kind,
                                                     std::string const & name,
                                                     object_version expected,
                                                     std::string const & value,
                                                     failure & reason)
{
    auto const body = this->call(
        "PUT",
        absl::StrCat(path_of(kind, name), "?if_version=", expected.value()),
        value,
        this->call_timeout,
        reason);
    if (!body.has_value())
    {
        return std::nullopt;
    }
    return read_json(*body, reason, &read_version);
}

std::optional<object_version>
http_object_store::remove(std::string const & kind,
                          std::string const & name,
                          object_version expected,
                          failure & reason)
{
    auto const body = this->call(
        "DELETE",
        absl::StrCat(path_of(kind, name), "?if_version=", expected.value()),
        {},
        this->call_timeout,
        reason);
    if (!body.has_value())
    {
        return std::nullopt;
    }
    return read_json(*body, reason, &read_version);
}

std::optional<watch_result> http_object_store::watch(std::string const & kind,
                                                     object_version after,
                                                     duration patience,
                                                     failure & reason)
{
    auto const wait_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(patience).count();
    auto const body = this->call(
        "GET",
        absl::StrCat(
            "/watch/", kind, "?after=", after.value(), "&wait_ms=", wait_ms),
        {},
        patience + this->call_timeout,
        reason);
    if (!body.has_value())
    {
        return std::nullopt;
    }
    return read_json(*body,
                     reason,
                     [](json const & source)
                     {
                         return watch_result{read_objects(source.at("changes")),
                                             read_version(source)};
                     });
}

std::optional<std::string> http_object_store::call(std::string const & method,
                                                   std::string const & path,
                                                   std::string const & body,
                                                   duration timeout,
                                                   failure & reason)
{
    http_request const request{method, path, {}, body};
    http_exchange_options options;
    options.timeout = timeout;
    http_exchange_report report;
    auto response =
        this->client.exchange(this->address, request, options, report, reason);
    if (!response.has_value())
    {
        return std::nullopt;
    }
    if (response->status >= lowest_error_status)
    {
        reason = {classify(response->status),
                  absl::StrCat("platform ", method),
                  this->address.to_string(),
                  response->body};
        return std::nullopt;
    }
    return std::move(response->body);
}

} // namespace endivehinge::detail

#include <endivehinge/detail/gateway/replica_exchange.hpp>

#include <vector> // vector

#include <absl/strings/match.h>     // StartsWith
#include <absl/strings/numbers.h>   // SimpleAtoi
#include <absl/strings/str_cat.h>   // StrCat
#include <absl/strings/str_split.h> // StrSplit
#include <nlohmann/json.hpp>        // json

namespace endivehinge::detail
{

namespace http = boost::beast::http;
using nlohmann::json;

namespace
{

// the versions that are known follow, separated by commas
constexpr char const * path = "/endivehinge/replica/";
constexpr char const * reading = "read another node's copy";

json write_object(replicated_object const & object)
{
    return {{"name", object.name},
            {"version", object.version.value()},
            {"content", object.content},
            {"deleted", object.deleted}};
}

replicated_object read_object(json const & value)
{
    return {value.at("name").get<std::string>(),
            object_version(value.at("version").get<std::uint64_t>()),
            value.at("content").get<std::string>(),
            value.at("deleted").get<bool>()};
}

object_changes read_changes(json const & value)
{
    object_changes changes;
    changes.version = object_version(value.at("version").get<std::uint64_t>());
    changes.complete = value.at("complete").get<bool>();
    for (auto const & object : value.at("objects"))
    {
        changes.objects.push_back(read_object(object));
    }
    return changes;
}

} // namespace

bool replica_exchange::is_request(request_message const & message)
{
    auto const target = std_view(message.target());
    return message.method() == http::verb::get &&
           absl::StartsWith({target.data(), target.size()}, path);
}

request_message replica_exchange::write_request(replica_versions const & known)
{
    return request_message{http::verb::get,
                           absl::StrCat(path,
                                        known.kinds[0].value(),
                                        ",",
                                        known.kinds[1].value(),
                                        ",",
                                        known.kinds[2].value()),
                           11};
}

replica_versions replica_exchange::read_request(request_message const & message)
{
    replica_versions known;
    auto const target = std_view(message.target());
    absl::string_view const text(target.data(), target.size());
    std::vector<absl::string_view> const parts =
        absl::StrSplit(text.substr(absl::string_view(path).size()), ',');
    for (std::size_t i = 0; i < known.kinds.size() && i < parts.size(); ++i)
    {
        if (std::uint64_t version = 0; absl::SimpleAtoi(parts[i], &version))
        {
            known.kinds[i] = object_version(version);
        }
    }
    return known;
}

std::string replica_exchange::write() const
{
    json kinds_written = json::array();
    for (auto const & changes : this->kinds)
    {
        json objects = json::array();
        for (auto const & object : changes.objects)
        {
            objects.push_back(write_object(object));
        }
        kinds_written.push_back({{"version", changes.version.value()},
                                 {"complete", changes.complete},
                                 {"objects", std::move(objects)}});
    }
    json const written = {
        {"age_us",
         std::chrono::duration_cast<std::chrono::microseconds>(this->age)
             .count()},
        {"in_contact", this->in_contact},
        {"kinds", std::move(kinds_written)}};
    return written.dump();
}

std::optional<replica_exchange> replica_exchange::read(std::string const & body,
                                                       failure & reason)
{
    try
    {
        auto const parsed = json::parse(body);
        replica_exchange exchange;
        exchange.age =
            std::chrono::microseconds(parsed.at("age_us").get<std::int64_t>());
        exchange.in_contact = parsed.at("in_contact").get<bool>();
        for (std::size_t i = 0; i < exchange.kinds.size(); ++i)
        {
            exchange.kinds[i] = read_changes(parsed.at("kinds").at(i));
        }
        return exchange;
    }
    catch (json::exception const & error)
    {
        reason = {failure_id::invalid_message, reading, "", error.what()};
        return std::nullopt;
    }
}

} // namespace endivehinge::detail

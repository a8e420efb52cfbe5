#include <endivehinge/detail/gateway/replica_exchange.hpp>

#include <algorithm> // count
#include <array>     // array, tuple_size_v
#include <vector>    // vector

#include <absl/strings/match.h>     // StartsWith
#include <absl/strings/numbers.h>   // SimpleAtoi
#include <absl/strings/str_cat.h>   // StrCat
#include <absl/strings/str_join.h>  // StrJoin
#include <absl/strings/str_split.h> // StrSplit
#include <nlohmann/json.hpp>        // json

#include <endivehinge/core/json_text.hpp>
#include <endivehinge/core/packed_text.hpp>
#include <endivehinge/detail/gateway/store_adapter.hpp>

namespace endivehinge::detail
{

namespace http = boost::beast::http;
using nlohmann::json;

namespace
{

// followed by the requester's revisions, their eras and the version of its
// active configuration, separated by commas; earlier versions send and read the
// revisions only. The revision and the era of the roll-outs follow where they
// are in force; earlier versions ignore them
constexpr char const * request_path_prefix = "/endivehinge/replica/";
constexpr char const * configuration_age_field = "configuration_age_us";
// names the text of the requester's active configuration
constexpr char const * held_digest_field = "Endivehinge-Held-Configuration";
constexpr char const * packed_field = "packed";
// four times the platform's limit for an object
constexpr std::size_t max_text_bytes = 4194304;
constexpr char const * read_step = "parse a replica response of another node";

/// @param era of the changes that contain the object; not repeated per object
json write_object(replicated_object const & object, store_era era)
{
    json written = {{"name", object.name},
                    {"version", object.version.value()},
                    {"content", object.content},
                    {"deleted", object.deleted}};
    if (object.version.era() != era)
    {
        written["era"] = object.version.era().value();
    }
    return written;
}

/// @param era if none is stated
object_version read_version(json const & value, store_era era)
{
    return {store_era(value.value("era", era.value())),
            value.at("version").get<std::uint64_t>()};
}

replicated_object read_object(json const & value, store_era era)
{
    return {value.at("name").get<std::string>(),
            read_version(value, era),
            value.at("content").get<std::string>(),
            value.at("deleted").get<bool>()};
}

json write_changes(object_changes const & changes)
{
    auto const era = changes.version.era();
    json objects = json::array();
    for (auto const & object : changes.objects)
    {
        objects.push_back(write_object(object, era));
    }
    json written = {{"version", changes.version.value()},
                    {"complete", changes.complete},
                    {"objects", std::move(objects)}};
    if (era != store_era())
    {
        written["era"] = era.value();
    }
    return written;
}

object_changes read_changes(json const & value)
{
    object_changes changes;
    // earlier versions send no era
    changes.version = read_version(value, store_era());
    changes.complete = value.at("complete").get<bool>();
    for (auto const & object : value.at("objects"))
    {
        changes.objects.push_back(read_object(object, changes.version.era()));
    }
    return changes;
}

std::size_t content_size_of(object_changes const & changes)
{
    std::size_t size = 0;
    for (auto const & object : changes.objects)
    {
        size += object.name.size() + object.content.size();
    }
    return size;
}

} // namespace

bool replica_exchange::is_request(request_message const & message)
{
    auto const target = std_view(message.target());
    return message.method() == http::verb::get &&
           absl::StartsWith({target.data(), target.size()},
                            request_path_prefix);
}

request_message
replica_exchange::write_request(replica_versions const & known_versions,
                                std::uint64_t held_digest)
{
    std::vector<std::uint64_t> numbers;
    for (auto const & version : known_versions.kinds)
    {
        numbers.push_back(version.value());
    }
    for (auto const & version : known_versions.kinds)
    {
        numbers.push_back(version.era().value());
    }
    numbers.push_back(known_versions.configuration_version);
    if (known_versions.rollouts)
    {
        numbers.push_back(known_versions.rollouts->value());
        numbers.push_back(known_versions.rollouts->era().value());
    }
    request_message message{
        http::verb::get,
        absl::StrCat(request_path_prefix, absl::StrJoin(numbers, ",")),
        11};
    message.set(held_digest_field, absl::StrCat(held_digest));
    return message;
}

std::optional<std::uint64_t>
replica_exchange::read_held_digest(request_message const & message)
{
    auto const found = message.find(held_digest_field);
    std::uint64_t digest = 0;
    return found != message.end() &&
                   absl::SimpleAtoi(std::string(found->value()), &digest)
               ? std::optional(digest)
               : std::nullopt;
}

bool replica_exchange::states_eras(request_message const & message)
{
    auto const target = std_view(message.target());
    return static_cast<std::size_t>(
               std::count(target.begin(), target.end(), ',')) >=
           std::tuple_size_v<decltype(replica_versions::kinds)>;
}

replica_versions replica_exchange::read_request(request_message const & message)
{
    replica_versions known_versions;
    constexpr auto kind_count =
        std::tuple_size_v<decltype(known_versions.kinds)>;
    constexpr std::size_t rollouts_index = 2 * kind_count + 1;
    std::array<std::uint64_t, rollouts_index + 2> numbers{};
    auto const target = std_view(message.target());
    absl::string_view const versions_text(target.data(), target.size());
    std::vector<absl::string_view> const number_texts = absl::StrSplit(
        versions_text.substr(absl::string_view(request_path_prefix).size()),
        ',');
    for (std::size_t i = 0; i < numbers.size() && i < number_texts.size(); ++i)
    {
        if (!absl::SimpleAtoi(number_texts[i], &numbers[i]))
        {
            numbers[i] = 0;
        }
    }
    for (std::size_t i = 0; i < kind_count; ++i)
    {
        known_versions.kinds[i] =
            object_version(store_era(numbers[kind_count + i]), numbers[i]);
    }
    known_versions.configuration_version = numbers[2 * kind_count];
    if (number_texts.size() >= numbers.size())
    {
        known_versions.rollouts = object_version(
            store_era(numbers[rollouts_index + 1]), numbers[rollouts_index]);
    }
    return known_versions;
}

std::size_t replica_exchange::content_size() const
{
    std::size_t size = this->rollouts ? content_size_of(*this->rollouts) : 0;
    size += this->packed ? this->packed->bytes.size() : 0;
    for (auto const & changes : this->kinds)
    {
        size += content_size_of(changes);
    }
    return size;
}

void replica_exchange::pack(text_history & texts, std::uint64_t base_digest)
{
    auto const newest = texts.newest();
    // the receiver accepts no longer text; compression fails without memory
    if (!newest || newest->size() > max_text_bytes ||
        texts.packed(base_digest).empty())
    {
        return;
    }
    for (auto & object : this->configuration().objects)
    {
        if (!object.deleted && object.content == *newest)
        {
            object.content.clear();
            this->packed =
                packed_content{object.name,
                               texts.holds(base_digest) ? base_digest : 0,
                               texts.packed(base_digest)};
            return;
        }
    }
}

object_changes & replica_exchange::configuration()
{
    return this->kinds[static_cast<std::size_t>(object_kind::configuration)];
}

bool replica_exchange::unpack(text_history::text_pointer const & held_text)
{
    auto const base = this->packed->base_digest;
    if (base != 0 &&
        (!held_text || text_history::digest_of(*held_text) != base))
    {
        return false;
    }
    auto text = unpack_text(this->packed->bytes,
                            base != 0 ? *held_text : std::string(),
                            max_text_bytes);
    for (auto & object : this->configuration().objects)
    {
        if (text && object.name == this->packed->object)
        {
            object.content = std::move(*text);
            return true;
        }
    }
    return false;
}

void replica_exchange::defer()
{
    this->packed.reset();
    for (std::size_t i = 0; i < this->kinds.size(); ++i)
    {
        this->deferred[i] = this->kinds[i].version > object_version();
        this->kinds[i] = object_changes{};
    }
    this->rollouts_deferred =
        this->rollouts && this->rollouts->version > object_version();
    this->rollouts.reset();
}

std::string replica_exchange::write() const
{
    json kinds_json = json::array();
    for (auto const & changes : this->kinds)
    {
        kinds_json.push_back(write_changes(changes));
    }
    json document = {
        {"age_us",
         std::chrono::duration_cast<std::chrono::microseconds>(this->age)
             .count()},
        {"in_contact", this->in_contact},
        {"deferred", this->deferred},
        {"kinds", std::move(kinds_json)}};
    if (this->states_configuration_age)
    {
        document[configuration_age_field] = nullptr;
    }
    if (this->states_configuration_age && this->configuration_age)
    {
        document[configuration_age_field] =
            std::chrono::duration_cast<std::chrono::microseconds>(
                *this->configuration_age)
                .count();
    }
    if (this->rollouts)
    {
        document["rollouts"] = write_changes(*this->rollouts);
    }
    if (this->rollouts_deferred)
    {
        document["rollouts_deferred"] = true;
    }
    if (!this->packed)
    {
        return to_json_text(document);
    }
    document[packed_field] = {{"object", this->packed->object},
                              {"base", this->packed->base_digest}};
    return absl::StrCat(to_json_text(document), "\n", this->packed->bytes);
}

std::optional<replica_exchange>
replica_exchange::read(std::string const & body,
                       text_history::text_pointer const & held_text,
                       failure & reason)
{
    try
    {
        // compressed content follows the only line of the JSON text
        auto const end = body.find('\n');
        auto const parsed = json::parse(body.substr(0, end));
        replica_exchange exchange;
        exchange.age =
            std::chrono::microseconds(parsed.at("age_us").get<std::int64_t>());
        exchange.in_contact = parsed.at("in_contact").get<bool>();
        // earlier versions do not send it
        if (auto const age = parsed.find(configuration_age_field);
            age != parsed.end())
        {
            exchange.states_configuration_age = true;
            if (!age->is_null())
            {
                exchange.configuration_age =
                    std::chrono::microseconds(age->get<std::int64_t>());
            }
        }
        // earlier versions do not send it
        if (auto const deferred = parsed.find("deferred");
            deferred != parsed.end())
        {
            exchange.deferred = deferred->get<std::array<bool, 3>>();
        }
        for (std::size_t i = 0; i < exchange.kinds.size(); ++i)
        {
            exchange.kinds[i] = read_changes(parsed.at("kinds").at(i));
        }
        if (auto const found = parsed.find("rollouts"); found != parsed.end())
        {
            exchange.rollouts = read_changes(*found);
        }
        exchange.rollouts_deferred = parsed.value("rollouts_deferred", false);
        if (auto const found = parsed.find(packed_field);
            found != parsed.end() && end != std::string::npos)
        {
            exchange.packed =
                packed_content{found->at("object").get<std::string>(),
                               found->at("base").get<std::uint64_t>(),
                               body.substr(end + 1)};
            if (!exchange.unpack(held_text))
            {
                reason = {failure_id::invalid_message,
                          read_step,
                          "",
                          "compressed content cannot be restored"};
                return std::nullopt;
            }
            exchange.packed.reset();
        }
        return exchange;
    }
    catch (json::exception const & error)
    {
        reason = {failure_id::invalid_message, read_step, "", error.what()};
        return std::nullopt;
    }
}

} // namespace endivehinge::detail

#include <endivehinge/coordination/configuration_entry.hpp>

#include <absl/strings/match.h>   // StartsWith
#include <absl/strings/str_cat.h> // StrCat
#include <nlohmann/json.hpp>      // json

namespace endivehinge
{
namespace
{

using nlohmann::json;

constexpr entry_subject subjects[] = {
    entry_subject::service, entry_subject::domain, entry_subject::target};

std::string prefix_of(entry_subject subject)
{
    return absl::StrCat(to_string(subject), ".");
}

bool read_name(std::string const & object_name, configuration_entry & entry)
{
    for (auto const subject : subjects)
    {
        std::string const prefix = prefix_of(subject);
        if (absl::StartsWith(object_name, prefix))
        {
            entry.subject = subject;
            entry.name = object_name.substr(prefix.size());
            return !entry.name.empty();
        }
    }
    return false;
}

failure invalid(std::string const & object_name, std::string const & detail)
{
    return {failure_id::invalid_configuration,
            "read configuration object",
            object_name,
            detail};
}

} // namespace

char const * to_string(entry_subject subject)
{
    switch (subject)
    {
    case entry_subject::service:
        return "service";
    case entry_subject::domain:
        return "failure_domain";
    case entry_subject::target:
        return "target";
    }
    return "service";
}

std::string configuration_entry::object_name() const
{
    return absl::StrCat(prefix_of(this->subject), this->name);
}

std::string configuration_entry::to_value() const
{
    json value = {{"author", this->author}, {"write_id", this->write_id}};
    if (this->subject == entry_subject::service)
    {
        value["text"] = this->text;
    }
    else
    {
        value["drained"] = this->drained;
    }
    // bytes that are not UTF-8 must not throw
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<configuration_entry>
configuration_entry::parse(std::string const & object_name,
                           std::string const & value,
                           failure & reason)
{
    configuration_entry entry;
    if (!read_name(object_name, entry))
    {
        reason = invalid(object_name, "the name is of no known kind");
        return std::nullopt;
    }
    try
    {
        json const read = json::parse(value);
        entry.author = read.at("author").get<std::string>();
        entry.write_id = read.at("write_id").get<std::string>();
        if (entry.subject == entry_subject::service)
        {
            entry.text = read.at("text").get<std::string>();
        }
        else
        {
            entry.drained = read.at("drained").get<bool>();
        }
    }
    catch (json::exception const & error)
    {
        reason = invalid(object_name, error.what());
        return std::nullopt;
    }
    return entry;
}

} // namespace endivehinge

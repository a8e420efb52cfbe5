#include <endivehinge/coordination/configuration_entry.hpp>

#include <absl/strings/match.h>   // StartsWith
#include <absl/strings/str_cat.h> // StrCat
#include <nlohmann/json.hpp>      // json

#include <endivehinge/core/json_text.hpp>

namespace endivehinge
{
namespace
{

using nlohmann::json;

constexpr entry_subject entry_subjects[] = {
    entry_subject::service, entry_subject::domain, entry_subject::target};

std::string prefix_of(entry_subject subject)
{
    return absl::StrCat(to_string(subject), ".");
}

bool parse_object_name(std::string const & object_name,
                       configuration_entry & entry)
{
    for (auto const subject : entry_subjects)
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

failure parse_failure(std::string const & object_name,
                      std::string const & detail)
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
    return to_json_text(value);
}

std::optional<configuration_entry>
configuration_entry::parse(std::string const & object_name,
                           std::string const & value,
                           failure & reason)
{
    configuration_entry entry;
    if (!parse_object_name(object_name, entry))
    {
        reason =
            parse_failure(object_name,
                          "the object name is not of the form service.NAME, "
                          "failure_domain.NAME or target.NAME");
        return std::nullopt;
    }
    try
    {
        json const parsed = json::parse(value);
        entry.author = parsed.at("author").get<std::string>();
        entry.write_id = parsed.at("write_id").get<std::string>();
        if (entry.subject == entry_subject::service)
        {
            entry.text = parsed.at("text").get<std::string>();
        }
        else
        {
            entry.drained = parsed.at("drained").get<bool>();
        }
    }
    catch (json::exception const & error)
    {
        reason = parse_failure(object_name, error.what());
        return std::nullopt;
    }
    return entry;
}

} // namespace endivehinge

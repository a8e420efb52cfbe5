#include <endivehinge/detail/node/configuration_assembler.hpp>

#include <utility> // move

#include <endivehinge/detail/log/log.hpp>
#include <endivehinge/detail/settings/yaml_reader.hpp>

namespace endivehinge::detail
{
namespace
{

logger const & log()
{
    static logger const instance("configuration");
    return instance;
}

void add_drained(configuration & result, configuration_entry const & entry)
{
    if (entry.drained && entry.subject == entry_subject::domain)
    {
        result.drained_domains.emplace(entry.name);
    }
    if (entry.drained && entry.subject == entry_subject::target)
    {
        result.drained_targets.emplace(entry.name);
    }
}

} // namespace

configuration
configuration_assembler::assemble(configuration_state const & state)
{
    absl::btree_map<std::string, cached_entry> next;
    configuration result;
    result.version = state.version();
    for (auto const & object : state.objects())
    {
        cached_entry & cached = next[object.name];
        if (auto const previous = this->entries.find(object.name);
            previous != this->entries.end())
        {
            cached = std::move(previous->second);
        }
        if (cached.version != object.version)
        {
            this->update(cached, object);
        }
        if (!cached.valid)
        {
            continue;
        }
        if (cached.parsed.subject == entry_subject::service)
        {
            result.services.push_back(cached.service);
        }
        add_drained(result, cached.parsed);
    }
    this->entries = std::move(next);
    return result;
}

void configuration_assembler::update(cached_entry & cached,
                                     stored_object const & object)
{
    cached.version = object.version;
    failure reason;
    auto parsed = configuration_entry::parse(object.name, object.value, reason);
    bool valid = parsed.has_value();
    if (valid && parsed->subject == entry_subject::service)
    {
        auto service =
            read_service_configuration(parsed->text, object.name, reason);
        valid = service.has_value();
        if (valid && service->name.value() != parsed->name)
        {
            reason = {failure_id::invalid_configuration,
                      "read configuration object",
                      object.name,
                      "the object describes another service: " +
                          service->name.value()};
            valid = false;
        }
        if (valid)
        {
            cached.service = *std::move(service);
        }
    }
    if (!valid)
    {
        log().error("Failed to parse a configuration object; its last valid "
                    "value stays in force.",
                    {{"object", object.name}, {"reason", reason.describe()}});
        return;
    }
    cached.parsed = *std::move(parsed);
    cached.valid = true;
}

} // namespace endivehinge::detail

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

void add(configuration & result, configuration_entry const & entry)
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
    absl::btree_map<std::string, entry> next;
    configuration result;
    result.version = state.version();
    for (auto const & object : state.objects())
    {
        entry & kept = next[object.name];
        if (auto const held = this->entries.find(object.name);
            held != this->entries.end())
        {
            kept = std::move(held->second);
        }
        if (kept.version != object.version)
        {
            this->update(kept, object);
        }
        if (!kept.good)
        {
            continue;
        }
        if (kept.read.subject == entry_subject::service)
        {
            result.services.push_back(kept.service);
        }
        add(result, kept.read);
    }
    this->entries = std::move(next);
    return result;
}

void configuration_assembler::update(entry & kept, stored_object const & object)
{
    kept.version = object.version;
    failure reason;
    auto read = configuration_entry::parse(object.name, object.value, reason);
    bool good = read.has_value();
    if (good && read->subject == entry_subject::service)
    {
        auto service =
            read_service_configuration(read->text, object.name, reason);
        good = service.has_value();
        if (good && service->name.value() != read->name)
        {
            reason = {failure_id::invalid_configuration,
                      "read configuration object",
                      object.name,
                      "it holds another service: " + service->name.value()};
            good = false;
        }
        if (good)
        {
            kept.service = *std::move(service);
        }
    }
    if (!good)
    {
        log().error("An object was not taken in; its last value stays.",
                    {{"object", object.name}, {"reason", reason.describe()}});
        return;
    }
    kept.read = *std::move(read);
    kept.good = true;
}

} // namespace endivehinge::detail

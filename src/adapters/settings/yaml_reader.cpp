#include <endivehinge/detail/settings/yaml_reader.hpp>

#include <fstream> // ifstream
#include <sstream> // stringstream
#include <vector>  // vector

#include <absl/strings/str_cat.h> // StrCat
#include <yaml-cpp/yaml.h>        // Load

#include "yaml_fields.hpp"

namespace endivehinge::detail
{
namespace
{

constexpr field_bounds<std::int64_t> shutdown_bounds_s{1, 600};

// others learn these addresses from this node, so each has to say which
endpoint read_listen_address(yaml_fields & fields, std::string const & name)
{
    endpoint address = fields.address(name);
    if (address.host == "0.0.0.0" || address.host == "::")
    {
        throw yaml_error(fields.mark(),
                         fields.path_of(name),
                         "names every address of the machine",
                         "write the one address that peers reach");
    }
    return address;
}

void check_distinct(std::vector<endpoint> const & addresses,
                    yaml_fields const & fields)
{
    for (std::size_t i = 0; i < addresses.size(); ++i)
    {
        for (std::size_t j = i + 1; j < addresses.size(); ++j)
        {
            // port 0 takes a free port, so it may stand more than once
            if (addresses[i].port != 0 && addresses[i] == addresses[j])
            {
                throw yaml_error(
                    fields.mark(),
                    "listen",
                    absl::StrCat("uses ", addresses[i].to_string(), " twice"),
                    "give each its own port");
            }
        }
    }
}

void read_listen(YAML::Node const & node, node_settings & settings)
{
    yaml_fields fields(node, "listen");
    settings.ingress = read_listen_address(fields, "ingress");
    settings.peers = read_listen_address(fields, "peers");
    settings.control = read_listen_address(fields, "control");
    settings.admin = read_listen_address(fields, "admin");
    fields.finish();
    check_distinct(
        {settings.ingress, settings.peers, settings.control, settings.admin},
        fields);
}

endpoint read_platform(yaml_fields & fields)
{
    endpoint address = fields.address("platform");
    if (address.port == 0)
    {
        throw yaml_error(fields.mark(),
                         "platform",
                         "has port 0",
                         "write the port that the platform listens on");
    }
    return address;
}

node_settings read_settings(YAML::Node const & root)
{
    yaml_fields fields(root, {});
    node_settings settings;
    settings.name = node_name(fields.identifier("name"));
    settings.domain = failure_domain(fields.identifier("failure_domain"));
    settings.region = region_name(fields.identifier("region"));
    settings.service = service_name(fields.identifier("service"));
    settings.platform = read_platform(fields);
    settings.shutdown_deadline =
        fields.seconds("shutdown_deadline_s", shutdown_bounds_s)
            .value_or(settings.shutdown_deadline);
    read_listen(fields.require("listen"), settings);
    fields.finish();
    return settings;
}

} // namespace

std::optional<node_settings> read_node_settings(std::string const & text,
                                                std::string const & source,
                                                failure & reason)
{
    try
    {
        return read_settings(YAML::Load(text));
    }
    catch (std::exception const & error)
    {
        reason = describe(error, failure_id::invalid_settings, source);
        return std::nullopt;
    }
}

std::optional<std::string> read_file(std::string const & path, failure & reason)
{
    std::ifstream file(path);
    std::stringstream content;
    if (!file || !(content << file.rdbuf()))
    {
        reason = {failure_id::not_found, "read file", {}, path};
        return std::nullopt;
    }
    return content.str();
}

} // namespace endivehinge::detail

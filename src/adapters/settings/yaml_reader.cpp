#include <endivehinge/detail/settings/yaml_reader.hpp>

#include <fstream> // ifstream
#include <sstream> // stringstream

#include <absl/strings/str_cat.h> // StrCat
#include <yaml-cpp/yaml.h>        // Load

namespace endivehinge::detail
{
namespace
{

using std::chrono::milliseconds;

std::optional<endpoint> read_endpoint(YAML::Node const & node)
{
    failure reason;
    auto parsed = endpoint::parse(node.as<std::string>(), reason);
    if (!parsed.has_value())
    {
        throw YAML::RepresentationException(node.Mark(), reason.detail);
    }
    return parsed;
}

priority read_priority(YAML::Node const & node)
{
    auto const text = node.as<std::string>();
    if (text == "internal_check")
    {
        return priority::internal_check;
    }
    if (text == "interactive")
    {
        return priority::interactive;
    }
    if (text == "batch")
    {
        return priority::batch;
    }
    throw YAML::RepresentationException(
        node.Mark(), "priority is internal_check, interactive or batch");
}

route_rule read_route(YAML::Node const & node)
{
    route_rule rule;
    rule.method = node["method"].as<std::string>("");
    rule.path_prefix = node["path"].as<std::string>();
    rule.repeatable = node["repeatable"].as<bool>(false);
    if (node["priority"])
    {
        rule.urgency = read_priority(node["priority"]);
    }
    if (node["deadline_ms"])
    {
        rule.deadline = milliseconds(node["deadline_ms"].as<int>());
    }
    return rule;
}

service_configuration read_service(YAML::Node const & node)
{
    service_configuration service;
    service.name = service_name(node["name"].as<std::string>());
    for (auto const & dependency : node["depends_on"])
    {
        service.depends_on.emplace_back(dependency.as<std::string>());
    }
    service.deadline = milliseconds(node["deadline_ms"].as<int>(1000));
    for (auto const & route : node["routes"])
    {
        service.routes.push_back(read_route(route));
    }
    return service;
}

failure describe(YAML::Exception const & error,
                 failure_id id,
                 std::string const & source)
{
    return {id,
            "read YAML",
            {},
            absl::StrCat(source, ":", error.mark.line + 1, ": ", error.msg)};
}

} // namespace

std::optional<node_settings> read_node_settings(std::string const & text,
                                                std::string const & source,
                                                failure & reason)
{
    try
    {
        YAML::Node const root = YAML::Load(text);
        node_settings settings;
        settings.name = node_name(root["name"].as<std::string>());
        settings.domain =
            failure_domain(root["failure_domain"].as<std::string>());
        settings.region = region_name(root["region"].as<std::string>());
        settings.service = service_name(root["service"].as<std::string>());
        settings.ingress = *read_endpoint(root["listen"]["ingress"]);
        settings.peers = *read_endpoint(root["listen"]["peers"]);
        settings.control = *read_endpoint(root["listen"]["control"]);
        settings.admin = *read_endpoint(root["listen"]["admin"]);
        settings.platform = *read_endpoint(root["platform"]);
        return settings;
    }
    catch (YAML::Exception const & error)
    {
        reason = describe(error, failure_id::invalid_settings, source);
        return std::nullopt;
    }
}

std::optional<configuration> read_configuration(std::string const & text,
                                                std::string const & source,
                                                failure & reason)
{
    try
    {
        YAML::Node const root = YAML::Load(text);
        configuration result;
        for (auto const & service : root["services"])
        {
            result.services.push_back(read_service(service));
        }
        return result;
    }
    catch (YAML::Exception const & error)
    {
        reason = describe(error, failure_id::invalid_configuration, source);
        return std::nullopt;
    }
}

std::optional<std::string> read_file(std::string const & path, failure & reason)
{
    std::ifstream file(path);
    if (!file)
    {
        reason = {failure_id::not_found, "read file", {}, path};
        return std::nullopt;
    }
    std::stringstream content;
    content << file.rdbuf();
    return content.str();
}

} // namespace endivehinge::detail

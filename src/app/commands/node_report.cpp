#include <endivehinge/detail/commands/node_report.hpp>

#include <nlohmann/json.hpp> // json

#include <endivehinge/detail/http/http_client.hpp>

namespace endivehinge::detail
{
namespace
{

using nlohmann::json;

constexpr duration node_timeout = std::chrono::seconds(2);
constexpr int status_ok = 200;

std::optional<std::string>
fetch_page(endpoint const & node, char const * path, failure & reason)
{
    http_client client{http_client_limits()};
    http_exchange_options options;
    options.timeout = node_timeout;
    http_exchange_report report;
    auto const response =
        client.exchange(node, {"GET", path, {}, {}}, options, report, reason);
    if (!response.has_value())
    {
        reason.step = "query node";
        return std::nullopt;
    }
    if (response->status != status_ok)
    {
        reason = {failure_id::invalid_message,
                  "query node",
                  node.to_string(),
                  response->body};
        return std::nullopt;
    }
    return response->body;
}

// converts a JSON response body; malformed or incomplete JSON is a failure
template <class Read>
auto parse_response(endpoint const & node,
                    std::string const & body,
                    failure & reason,
                    Read convert) -> std::optional<decltype(convert(json()))>
{
    try
    {
        return convert(json::parse(body));
    }
    catch (json::exception const & error)
    {
        reason = {failure_id::invalid_message,
                  "parse answer of node",
                  node.to_string(),
                  error.what()};
        return std::nullopt;
    }
}

member parse_member(json const & source)
{
    member parsed;
    parsed.name = node_name(source.at("name").get<std::string>());
    parsed.service = service_name(source.at("service").get<std::string>());
    parsed.domain =
        failure_domain(source.at("failure_domain").get<std::string>());
    parsed.region = region_name(source.at("region").get<std::string>());
    parsed.state = static_cast<member_state>(source.at("state").get<int>());
    parsed.slots = source.at("slots").get<std::uint32_t>();
    parsed.accepts_work = source.at("accepts_work").get<bool>();
    failure ignored_reason;
    parsed.control_address =
        endpoint::parse(source.at("control").get<std::string>(), ignored_reason)
            .value_or(endpoint());
    return parsed;
}

node_report parse_status(json const & source)
{
    node_report report;
    report.current.version =
        object_version(source.at("configuration_version").get<std::uint64_t>());
    for (auto const & name : source.at("drained_failure_domains"))
    {
        report.current.drained_domains.emplace(name.get<std::string>());
    }
    for (auto const & name : source.at("drained_targets"))
    {
        report.current.drained_targets.emplace(name.get<std::string>());
    }
    for (auto const & entry : source.at("members"))
    {
        report.members.push_back(parse_member(entry));
    }
    return report;
}

std::vector<burn_report> parse_burn(json const & source)
{
    std::vector<burn_report> reports;
    for (auto const & entry : source.at("services"))
    {
        burn_report report;
        report.service = service_name(entry.at("service").get<std::string>());
        report.target_share = entry.at("target_share").get<double>();
        report.latency_ms = entry.at("latency_ms").get<double>();
        for (auto const & window : entry.at("windows"))
        {
            report.windows.push_back(
                {std::chrono::seconds(window.at("length_s").get<int>()),
                 window.at("total").get<std::uint64_t>(),
                 window.at("bad").get<std::uint64_t>()});
        }
        reports.push_back(report);
    }
    return reports;
}

} // namespace

std::optional<node_report> fetch_status(endpoint const & node, failure & reason)
{
    auto const body = fetch_page(node, "/status", reason);
    if (!body.has_value())
    {
        return std::nullopt;
    }
    auto report = parse_response(node, *body, reason, &parse_status);
    if (report.has_value())
    {
        report->response_body = *body;
    }
    return report;
}

std::optional<std::vector<burn_report>> fetch_burn(endpoint const & node,
                                                   failure & reason)
{
    auto const body = fetch_page(node, "/burn", reason);
    return body.has_value() ? parse_response(node, *body, reason, &parse_burn)
                            : std::nullopt;
}

} // namespace endivehinge::detail

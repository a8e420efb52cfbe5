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
fetch(endpoint const & node, char const * path, failure & reason)
{
    http_client client{http_client_limits()};
    http_exchange_options options;
    options.timeout = node_timeout;
    http_exchange_report report;
    auto const response =
        client.exchange(node, {"GET", path, {}, {}}, options, report, reason);
    if (!response.has_value())
    {
        reason.step = "ask node";
        return std::nullopt;
    }
    if (response->status != status_ok)
    {
        reason = {failure_id::invalid_message,
                  "ask node",
                  node.to_string(),
                  response->body};
        return std::nullopt;
    }
    return response->body;
}

// reads an answer by a function; one of the wrong shape is a failure
template <class Read>
auto read_answer(endpoint const & node,
                 std::string const & text,
                 failure & reason,
                 Read read) -> std::optional<decltype(read(json()))>
{
    try
    {
        return read(json::parse(text));
    }
    catch (json::exception const & error)
    {
        reason = {failure_id::invalid_message,
                  "read node's answer",
                  node.to_string(),
                  error.what()};
        return std::nullopt;
    }
}

member read_member(json const & source)
{
    member one;
    one.name = node_name(source.at("name").get<std::string>());
    one.service = service_name(source.at("service").get<std::string>());
    one.domain = failure_domain(source.at("failure_domain").get<std::string>());
    one.region = region_name(source.at("region").get<std::string>());
    one.state = static_cast<member_state>(source.at("state").get<int>());
    one.slots = source.at("slots").get<std::uint32_t>();
    one.accepts_work = source.at("accepts_work").get<bool>();
    failure ignored;
    one.control_address =
        endpoint::parse(source.at("control").get<std::string>(), ignored)
            .value_or(endpoint());
    return one;
}

node_report read_status(json const & source)
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
    for (auto const & one : source.at("members"))
    {
        report.members.push_back(read_member(one));
    }
    return report;
}

std::vector<burn_report> read_burn(json const & source)
{
    std::vector<burn_report> result;
    for (auto const & one : source.at("services"))
    {
        burn_report report;
        report.service = service_name(one.at("service").get<std::string>());
        report.target_share = one.at("target_share").get<double>();
        report.latency_ms = one.at("latency_ms").get<double>();
        for (auto const & window : one.at("windows"))
        {
            report.windows.push_back(
                {std::chrono::seconds(window.at("length_s").get<int>()),
                 window.at("total").get<std::uint64_t>(),
                 window.at("bad").get<std::uint64_t>()});
        }
        result.push_back(report);
    }
    return result;
}

} // namespace

std::optional<node_report> fetch_status(endpoint const & node, failure & reason)
{
    auto const text = fetch(node, "/status", reason);
    if (!text.has_value())
    {
        return std::nullopt;
    }
    auto report = read_answer(node, *text, reason, &read_status);
    if (report.has_value())
    {
        report->text = *text;
    }
    return report;
}

std::optional<std::vector<burn_report>> fetch_burn(endpoint const & node,
                                                   failure & reason)
{
    auto const text = fetch(node, "/burn", reason);
    return text.has_value() ? read_answer(node, *text, reason, &read_burn)
                            : std::nullopt;
}

} // namespace endivehinge::detail

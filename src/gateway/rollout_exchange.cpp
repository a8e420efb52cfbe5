#include <endivehinge/detail/gateway/rollout_exchange.hpp>

#include <absl/strings/match.h>   // StartsWith
#include <absl/strings/str_cat.h> // StrCat
#include <nlohmann/json.hpp>      // json

#include <endivehinge/core/json_text.hpp>

namespace endivehinge::detail
{

namespace http = boost::beast::http;
using nlohmann::json;
using std::chrono::microseconds;

namespace
{

// followed by the name of the service
constexpr char const * request_path_prefix = "/endivehinge/rollout/";
constexpr char const * read_request_step = "parse a poll of a roll-out";
constexpr char const * read_response_step = "parse the response to a poll";

std::int64_t microsecond_count(duration value)
{
    return std::chrono::duration_cast<microseconds>(value).count();
}

duration read_duration(json const & value, char const * name)
{
    return microseconds(value.at(name).get<std::int64_t>());
}

json write_route(rollout_route_counts const & counts)
{
    return {{"arrivals", counts.arrivals},
            {"responses", counts.responses},
            {"failures", counts.failures},
            {"timed", counts.timed},
            {"log_run_time_sum", counts.log_run_time_sum},
            {"log_run_time_squares", counts.log_run_time_squares}};
}

rollout_route_counts read_route(json const & value)
{
    rollout_route_counts counts;
    counts.arrivals = value.at("arrivals").get<std::uint64_t>();
    counts.responses = value.at("responses").get<std::uint64_t>();
    counts.failures = value.at("failures").get<std::uint64_t>();
    counts.timed = value.at("timed").get<std::uint64_t>();
    counts.log_run_time_sum = value.at("log_run_time_sum").get<double>();
    counts.log_run_time_squares =
        value.at("log_run_time_squares").get<double>();
    return counts;
}

} // namespace

bool rollout_exchange::is_request(request_message const & message)
{
    auto const target = std_view(message.target());
    return message.method() == http::verb::post &&
           absl::StartsWith({target.data(), target.size()},
                            request_path_prefix);
}

request_message
rollout_exchange::write_request(rollout_instruction const & instruction)
{
    json const document = {
        {"service", instruction.service.value()},
        {"target_version", instruction.target_version.value()},
        {"coordinator", instruction.coordinator.value()},
        {"term", instruction.term},
        {"sequence", instruction.sequence},
        {"shifting", instruction.stage == rollout_stage::shifting},
        {"old_closed", instruction.old_closed},
        {"withdrawn", instruction.withdrawn},
        {"holder", instruction.holder.value()},
        {"max_accepted", instruction.max_accepted},
        {"max_failures", instruction.max_failures},
        {"expires_at_us", microsecond_count(instruction.expires_at)}};
    request_message message{
        http::verb::post,
        absl::StrCat(request_path_prefix, instruction.service.value()),
        11};
    message.body() = to_json_text(document);
    message.keep_alive(true);
    message.prepare_payload();
    return message;
}

std::optional<rollout_instruction>
rollout_exchange::read_request(request_message const & message,
                               failure & reason)
{
    try
    {
        auto const parsed = json::parse(message.body().text());
        rollout_instruction instruction;
        instruction.service =
            service_name(parsed.at("service").get<std::string>());
        instruction.target_version =
            software_version(parsed.at("target_version").get<std::string>());
        instruction.coordinator =
            node_name(parsed.at("coordinator").get<std::string>());
        instruction.term = parsed.at("term").get<std::uint64_t>();
        instruction.sequence = parsed.at("sequence").get<std::uint64_t>();
        instruction.stage = parsed.at("shifting").get<bool>()
                                ? rollout_stage::shifting
                                : rollout_stage::trial;
        instruction.old_closed = parsed.at("old_closed").get<bool>();
        instruction.withdrawn = parsed.at("withdrawn").get<bool>();
        instruction.holder =
            incarnation(parsed.at("holder").get<std::uint64_t>());
        instruction.max_accepted =
            parsed.at("max_accepted").get<std::uint64_t>();
        instruction.max_failures =
            parsed.at("max_failures").get<std::uint64_t>();
        instruction.expires_at = read_duration(parsed, "expires_at_us");
        return instruction;
    }
    catch (json::exception const & error)
    {
        reason = {
            failure_id::invalid_message, read_request_step, "", error.what()};
        return std::nullopt;
    }
}

std::string rollout_exchange::write(rollout_counts const & counts)
{
    json routes = json::object();
    for (auto const & [name, route] : counts.routes)
    {
        routes[name] = write_route(route);
    }
    json const document = {
        {"node", counts.node.value()},
        {"version", counts.version.value()},
        {"process", counts.process.value()},
        {"reported_at_us", microsecond_count(counts.reported_at)},
        {"order_age_us", microsecond_count(counts.order_age)},
        {"term", counts.term},
        {"sequence", counts.sequence},
        {"cold", counts.cold},
        {"closed", counts.closed},
        {"in_progress", counts.in_progress},
        {"routes", std::move(routes)}};
    return to_json_text(document);
}

std::optional<rollout_counts> rollout_exchange::read(std::string const & body,
                                                     failure & reason)
{
    try
    {
        auto const parsed = json::parse(body);
        rollout_counts counts;
        counts.node = node_name(parsed.at("node").get<std::string>());
        counts.version =
            software_version(parsed.at("version").get<std::string>());
        counts.process = incarnation(parsed.at("process").get<std::uint64_t>());
        counts.reported_at = read_duration(parsed, "reported_at_us");
        counts.order_age = read_duration(parsed, "order_age_us");
        counts.term = parsed.at("term").get<std::uint64_t>();
        counts.sequence = parsed.at("sequence").get<std::uint64_t>();
        counts.cold = parsed.at("cold").get<bool>();
        counts.closed = parsed.at("closed").get<bool>();
        counts.in_progress = parsed.at("in_progress").get<std::uint64_t>();
        for (auto const & [name, route] : parsed.at("routes").items())
        {
            counts.routes[name] = read_route(route);
        }
        return counts;
    }
    catch (json::exception const & error)
    {
        reason = {
            failure_id::invalid_message, read_response_step, "", error.what()};
        return std::nullopt;
    }
}

} // namespace endivehinge::detail

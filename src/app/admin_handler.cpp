#include <endivehinge/detail/node/admin_handler.hpp>

#include <algorithm> // sort
#include <string>    // string
#include <vector>    // vector

#include <absl/strings/str_cat.h> // StrAppend
#include <nlohmann/json.hpp>      // json

namespace endivehinge::detail
{
namespace
{

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;

http_response json_response(int status, json const & body)
{
    http_response response;
    response.status = status;
    response.headers.set("Content-Type", "application/json");
    response.body = body.dump();
    return response;
}

target_phase read_phase(std::string const & text)
{
    if (text == "cold")
    {
        return target_phase::cold;
    }
    if (text == "ready")
    {
        return target_phase::ready;
    }
    return text == "draining" ? target_phase::draining : target_phase::absent;
}

template <class Names>
json names_of(Names const & names)
{
    std::vector<std::string> sorted;
    for (auto const & name : names)
    {
        sorted.push_back(name.value());
    }
    std::sort(sorted.begin(), sorted.end());
    return sorted;
}

void append_gauge(std::string & out, char const * name, double value)
{
    absl::StrAppend(&out, "# TYPE endivehinge_", name, " gauge\n");
    absl::StrAppend(&out, "endivehinge_", name, " ", value, "\n");
}

std::int64_t whole_seconds(duration span)
{
    return std::chrono::duration_cast<std::chrono::seconds>(span).count();
}

} // namespace

admin_handler::admin_handler(local_executor & local,
                             member_directory const & directory,
                             configuration_holder const & configured,
                             clock const & source)
    : executor(local)
    , members(directory)
    , current(configured)
    , time(source)
{
}

void admin_handler::show(metrics const & source)
{
    this->recorded = &source;
}

http_response admin_handler::handle(http_request message, http_connection)
{
    if (message.method == "POST" && message.path == "/v1/announce")
    {
        return this->announce(message.body);
    }
    if (message.method == "GET" && message.path == "/status")
    {
        return this->status();
    }
    if (message.method == "GET" && message.path == "/metrics")
    {
        return this->exposition();
    }
    if (message.method == "GET" && message.path == "/burn")
    {
        return this->burn();
    }
    return json_response(status_not_found, {{"error", "no such page"}});
}

http_response admin_handler::announce(std::string const & body)
{
    json const said = json::parse(body, nullptr, false);
    failure reason;
    try
    {
        auto const address =
            endpoint::parse(said.at("address").get<std::string>(), reason);
        if (!address.has_value())
        {
            return json_response(status_bad_request,
                                 {{"error", reason.describe()}});
        }
        target_status status;
        status.address = *address;
        status.phase = read_phase(said.at("phase").get<std::string>());
        status.slots = said.at("slots").get<std::uint32_t>();
        status.connections = said.at("connections").get<std::uint32_t>();
        status.incarnation_number = said.at("run").get<std::uint64_t>();
        status.announced_at = this->time.now();
        this->executor.update(status);
    }
    catch (json::exception const & error)
    {
        return json_response(status_bad_request, {{"error", error.what()}});
    }
    return json_response(status_ok, json::object());
}

http_response admin_handler::status() const
{
    json list = json::array();
    auto const known = this->members.snapshot();
    for (auto const & one : *known)
    {
        list.push_back({{"name", one.name.value()},
                        {"service", one.service.value()},
                        {"failure_domain", one.domain.value()},
                        {"region", one.region.value()},
                        {"state", static_cast<int>(one.state)},
                        {"slots", one.slots},
                        {"control", one.control_address.to_string()},
                        {"accepts_work", one.accepts_work}});
    }
    auto const configured = this->current.current();
    auto const target = this->executor.status();
    load_signal const load = this->executor.load();
    return json_response(
        status_ok,
        {{"configuration_version", configured->version.value()},
         {"drained_failure_domains", names_of(configured->drained_domains)},
         {"drained_targets", names_of(configured->drained_targets)},
         {"target_slots", target.slots},
         {"target_in_flight", load.in_flight},
         {"target_limit", load.limit},
         {"members", list}});
}

http_response admin_handler::exposition() const
{
    if (this->recorded == nullptr)
    {
        return json_response(status_not_found, {{"error", "no metrics"}});
    }
    http_response response;
    response.status = status_ok;
    response.headers.set("Content-Type", "text/plain; version=0.0.4");
    response.body = this->recorded->exposition();
    load_signal const load = this->executor.load();
    append_gauge(response.body, "target_in_flight", load.in_flight);
    append_gauge(response.body, "target_limit", load.limit);
    return response;
}

http_response admin_handler::burn() const
{
    json list = json::array();
    auto const burns = this->recorded == nullptr ? std::vector<service_burn>()
                                                 : this->recorded->burn();
    for (auto const & one : burns)
    {
        json windows = json::array();
        for (auto const & window : one.windows)
        {
            windows.push_back({{"length_s", whole_seconds(window.length)},
                               {"total", window.total},
                               {"bad", window.bad}});
        }
        list.push_back({{"service", one.service.value()},
                        {"target_share", one.objective.target_share},
                        {"latency_ms", to_milliseconds(one.objective.latency)},
                        {"windows", windows}});
    }
    return json_response(status_ok, {{"services", list}});
}

} // namespace endivehinge::detail

#include <endivehinge/detail/node/admin_handler.hpp>

#include <algorithm> // sort
#include <string>    // string
#include <vector>    // vector

#include <absl/strings/str_cat.h> // StrAppend
#include <nlohmann/json.hpp>      // json

#include <endivehinge/core/json_text.hpp>

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
    response.body = to_json_text(body);
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
json sorted_names(Names const & names)
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

std::int64_t to_whole_seconds(duration value)
{
    return std::chrono::duration_cast<std::chrono::seconds>(value).count();
}

} // namespace

admin_handler::admin_handler(local_executor & local,
                             member_directory const & directory,
                             configuration_holder const & configuration_source,
                             clock const & time_source)
    : executor(local)
    , members(directory)
    , current(configuration_source)
    , time(time_source)
{
}

void admin_handler::set_metrics(metrics const & source)
{
    this->node_metrics = &source;
}

http_response admin_handler::handle(http_request message, http_connection)
{
    if (message.method == "POST" && message.path == "/v1/announce")
    {
        return this->handle_announcement(message.body);
    }
    if (message.method == "GET" && message.path == "/status")
    {
        return this->status_page();
    }
    if (message.method == "GET" && message.path == "/metrics")
    {
        return this->metrics_page();
    }
    if (message.method == "GET" && message.path == "/burn")
    {
        return this->burn_page();
    }
    return json_response(status_not_found, {{"error", "no such path"}});
}

http_response admin_handler::handle_announcement(std::string const & body)
{
    json const announcement = json::parse(body, nullptr, false);
    failure reason;
    try
    {
        auto const address = endpoint::parse(
            announcement.at("address").get<std::string>(), reason);
        if (!address.has_value())
        {
            return json_response(status_bad_request,
                                 {{"error", reason.describe()}});
        }
        target_status status;
        status.address = *address;
        status.phase = read_phase(announcement.at("phase").get<std::string>());
        status.slots = announcement.at("slots").get<std::uint32_t>();
        status.connections =
            announcement.at("connections").get<std::uint32_t>();
        status.incarnation_number = announcement.at("run").get<std::uint64_t>();
        status.announced_at = this->time.now();
        this->executor.update(status);
    }
    catch (json::exception const & error)
    {
        return json_response(status_bad_request, {{"error", error.what()}});
    }
    return json_response(status_ok, json::object());
}

http_response admin_handler::status_page() const
{
    json entries = json::array();
    auto const member_snapshot = this->members.snapshot();
    for (auto const & entry : *member_snapshot)
    {
        entries.push_back({{"name", entry.name.value()},
                           {"service", entry.service.value()},
                           {"failure_domain", entry.domain.value()},
                           {"region", entry.region.value()},
                           {"state", static_cast<int>(entry.state)},
                           {"slots", entry.slots},
                           {"control", entry.control_address.to_string()},
                           {"accepts_work", entry.accepts_work}});
    }
    auto const active_configuration = this->current.current();
    auto const target = this->executor.status();
    load_signal const load = this->executor.load();
    return json_response(
        status_ok,
        {{"configuration_version", active_configuration->version.value()},
         {"drained_failure_domains",
          sorted_names(active_configuration->drained_domains)},
         {"drained_targets",
          sorted_names(active_configuration->drained_targets)},
         {"target_slots", target.slots},
         {"target_in_flight", load.in_flight},
         {"target_limit", load.limit},
         {"members", entries}});
}

http_response admin_handler::metrics_page() const
{
    if (this->node_metrics == nullptr)
    {
        return json_response(status_not_found,
                             {{"error", "no metrics are recorded"}});
    }
    http_response response;
    response.status = status_ok;
    response.headers.set("Content-Type", "text/plain; version=0.0.4");
    response.body = this->node_metrics->exposition();
    load_signal const load = this->executor.load();
    append_gauge(response.body, "target_in_flight", load.in_flight);
    append_gauge(response.body, "target_limit", load.limit);
    return response;
}

http_response admin_handler::burn_page() const
{
    json entries = json::array();
    auto const service_burns = this->node_metrics == nullptr
                                   ? std::vector<service_burn>()
                                   : this->node_metrics->burn();
    for (auto const & entry : service_burns)
    {
        json windows = json::array();
        for (auto const & window : entry.windows)
        {
            windows.push_back({{"length_s", to_whole_seconds(window.length)},
                               {"total", window.total},
                               {"bad", window.bad}});
        }
        entries.push_back(
            {{"service", entry.service.value()},
             {"target_share", entry.objective.target_share},
             {"latency_ms", to_milliseconds(entry.objective.latency)},
             {"windows", windows}});
    }
    return json_response(status_ok, {{"services", entries}});
}

} // namespace endivehinge::detail

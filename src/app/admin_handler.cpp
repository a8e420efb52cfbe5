#include <endivehinge/detail/node/admin_handler.hpp>

#include <string> // string

#include <nlohmann/json.hpp> // json

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
        status.run = said.at("run").get<std::uint64_t>();
        status.heard = this->time.now();
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
    for (auto const & one : *this->members.snapshot())
    {
        list.push_back({{"name", one.name.value()},
                        {"service", one.service.value()},
                        {"failure_domain", one.domain.value()},
                        {"accepts_work", one.accepts_work}});
    }
    auto const target = this->executor.status();
    return json_response(
        status_ok,
        {{"configuration_version", this->current.current()->version.value()},
         {"target_slots", target.slots},
         {"members", list}});
}

} // namespace endivehinge::detail

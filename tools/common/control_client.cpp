#include <common/control_client.hpp>

#include <optional> // optional
#include <string>   // string

#include <common/json_response.hpp>
#include <endivehinge/detail/http/http_client.hpp>

namespace endivehinge::tools
{
namespace
{

constexpr duration control_timeout = std::chrono::seconds(5);

std::optional<http_response> exchange(child_process const & stand_in,
                                      http_request const & request,
                                      failure & reason)
{
    detail::http_client client{detail::http_client_limits()};
    detail::http_exchange_options options;
    options.timeout = control_timeout;
    detail::http_exchange_report report;
    return client.exchange({"127.0.0.1", stand_in.port("control")},
                           request,
                           options,
                           report,
                           reason);
}

} // namespace

bool control(child_process const & stand_in,
             nlohmann::json const & fields,
             failure & reason)
{
    auto const response =
        exchange(stand_in, {"POST", "/control", {}, fields.dump()}, reason);
    if (!response.has_value())
    {
        return false;
    }
    if (response->status != status_ok)
    {
        reason = {failure_id::invalid_argument, "control", {}, response->body};
        return false;
    }
    return true;
}

nlohmann::json read_report(child_process const & stand_in)
{
    failure reason;
    auto const response =
        exchange(stand_in, {"GET", "/report", {}, {}}, reason);
    return response.has_value()
               ? nlohmann::json::parse(response->body, nullptr, false)
               : nlohmann::json();
}

} // namespace endivehinge::tools

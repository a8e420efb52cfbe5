#include <endivehinge/detail/node/ingress_handler.hpp>

#include <algorithm> // clamp
#include <utility>   // move

#include <absl/strings/numbers.h> // SimpleAtoi
#include <absl/strings/str_cat.h> // StrCat
#include <nlohmann/json.hpp>      // json

#include <endivehinge/core/header_names.hpp>
#include <endivehinge/core/json_text.hpp>

namespace endivehinge::detail
{
namespace
{

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr int status_service_unavailable = 503;
constexpr int status_gateway_timeout = 504;
constexpr int milliseconds_per_second = 1000;
constexpr milliseconds unknown_service_retry_after(1000);

// The first path segment is the service name.
service_name service_of(std::string const & path)
{
    auto const end = path.find_first_of("/?", 1);
    return service_name(
        path.substr(1, end == std::string::npos ? std::string::npos : end - 1));
}

std::int64_t to_seconds_rounded_up(duration interval)
{
    auto const count = duration_cast<milliseconds>(interval).count();
    return (count + milliseconds_per_second - 1) / milliseconds_per_second;
}

// Builds RFC 9457 problem details with extension members for the outcome.
http_response make_problem_response(outcome const & result)
{
    bool const rejected = result.kind == outcome_kind::rejected;
    auto const retry_ms =
        duration_cast<milliseconds>(result.retry_after).count();
    http_response response;
    response.status =
        rejected ? status_service_unavailable : status_gateway_timeout;
    nlohmann::json const problem = {
        {"type", absl::StrCat("urn:endivehinge:", to_string(result.reason.id))},
        {"title", rejected ? "not run" : "outcome unknown"},
        {"status", response.status},
        {"detail", result.reason.describe()},
        {"outcome", to_string(result.kind)},
        {"retry_after_ms", retry_ms},
    };
    response.body = to_json_text(problem);
    response.headers.set("Content-Type", "application/problem+json");
    if (rejected)
    {
        response.headers.set(
            header_names::retry_after,
            absl::StrCat(to_seconds_rounded_up(result.retry_after)));
    }
    return response;
}

duration requested_timeout(http_headers const & headers, duration configured)
{
    std::string const * const text = headers.find(header_names::timeout_ms);
    std::int64_t requested_ms = 0;
    if (text == nullptr || !absl::SimpleAtoi(*text, &requested_ms))
    {
        return configured;
    }
    auto const configured_ms = duration_cast<milliseconds>(configured).count();
    return milliseconds(
        std::clamp<std::int64_t>(requested_ms, 0, configured_ms));
}

int requested_depth(http_headers const & headers)
{
    std::string const * const text = headers.find(header_names::depth);
    int depth = 0;
    return text != nullptr && absl::SimpleAtoi(*text, &depth) ? depth + 1 : 0;
}

} // namespace

ingress_handler::ingress_handler(request_id_source & id_source,
                                 configuration_holder const & configurations,
                                 request_router & shared_router,
                                 keyed_router & shared_key_router,
                                 metrics & shared_metrics,
                                 clock const & time_source)
    : ids(id_source)
    , configuration_source(configurations)
    , router(shared_router)
    , key_router(shared_key_router)
    , outcome_metrics(shared_metrics)
    , time(time_source)
{
}

http_response ingress_handler::handle(http_request message,
                                      http_connection connection)
{
    time_point const start = this->time.now();
    outcome result;
    request_id id = this->ids.next();
    if (auto incoming = this->parse_request(std::move(message), result))
    {
        incoming->id = id;
        result = this->route(*incoming, connection.socket);
        this->outcome_metrics.record(
            incoming->service, result.kind, this->time.now() - start);
    }
    http_response response = result.kind == outcome_kind::answered
                                 ? std::move(result.answer)
                                 : make_problem_response(result);
    response.headers.set(header_names::outcome, to_string(result.kind));
    response.headers.set(header_names::request_id, id.value());
    return response;
}

outcome ingress_handler::route(request const & incoming, int caller_socket)
{
    if (incoming.key.has_value() && !incoming.repeatable)
    {
        return this->key_router.route(incoming);
    }
    // A request that is not idempotent runs to completion even if its caller
    // disconnects.
    return this->router.route(incoming,
                              incoming.repeatable ? caller_socket : -1);
}

std::optional<request> ingress_handler::parse_request(http_request message,
                                                      outcome & rejection)
{
    auto const configured = this->configuration_source.current();
    request incoming;
    incoming.service = service_of(message.path);
    auto const * const service = configured->find(incoming.service);
    if (service == nullptr)
    {
        rejection = outcome::rejected({failure_id::not_found,
                                       "read request",
                                       {},
                                       "no such service is configured"},
                                      unknown_service_retry_after);
        return std::nullopt;
    }
    duration timeout = service->deadline;
    if (auto const * const rule = service->match(message.method, message.path))
    {
        incoming.repeatable = rule->repeatable;
        incoming.urgency = rule->urgency;
        timeout = rule->deadline.value_or(timeout);
    }
    incoming.depth = requested_depth(message.headers);
    incoming.deadline =
        this->time.now() + requested_timeout(message.headers, timeout);
    if (auto const * const key =
            message.headers.find(header_names::idempotency_key))
    {
        incoming.key = idempotency_key(*key);
    }
    incoming.message = std::move(message);
    return incoming;
}

} // namespace endivehinge::detail

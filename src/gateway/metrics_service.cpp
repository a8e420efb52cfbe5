#include <endivehinge/detail/gateway/metrics_service.hpp>

namespace endivehinge::detail
{

namespace http = boost::beast::http;

metrics_service::metrics_service(gateway_state & shared)
    : state(shared)
{
}

void metrics_service::handle(std::shared_ptr<exchange> incoming)
{
    auto & metrics = this->state.metrics;
    auto const load = this->state.target.load();
    auto const & configuration = this->state.fleet.configuration();
    metrics.set("target_running", load.running);
    metrics.set("target_waiting", load.waiting);
    metrics.set("target_limit", load.limit);
    metrics.set("target_slowdown", load.slowdown);
    metrics.set("target_failure_share", load.failure_share);
    metrics.set("target_open", load.closed ? 0 : 1);
    metrics.set("target_connections_opened",
                static_cast<double>(this->state.target.opened_connections()));
    metrics.set("configuration_version",
                configuration ? static_cast<double>(configuration->version)
                              : 0);
    metrics.set("nodes_known",
                static_cast<double>(this->state.fleet.node_count()));
    metrics.set("log_lines_left_out",
                static_cast<double>(this->state.log.dropped_count()));
    response_message answer{http::status::ok, 11};
    answer.set(http::field::content_type, "text/plain; version=0.0.4");
    answer.body() = metrics.text();
    answer.prepare_payload();
    incoming->respond(std::move(answer));
}

} // namespace endivehinge::detail

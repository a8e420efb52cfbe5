#include <endivehinge/detail/gateway/metrics_service.hpp>

#include <endivehinge/detail/gateway/allotment_client.hpp>

namespace endivehinge::detail
{

namespace http = boost::beast::http;

namespace
{

constexpr char const * rollouts_path = "/rollouts";

} // namespace

metrics_service::metrics_service(gateway_state & shared_state,
                                 rollout_control & service_rollout)
    : state(shared_state)
    , rollout(service_rollout)
{
}

void metrics_service::handle(std::shared_ptr<exchange> incoming)
{
    if (incoming->request.target() == rollouts_path)
    {
        this->respond_with_rollouts(*incoming);
        return;
    }
    auto & metrics = this->state.metrics;
    auto const load = this->state.target.load();
    auto const & configuration = this->state.fleet.configuration();
    metrics.set_gauge("target_running", load.running);
    metrics.set_gauge("target_waiting", load.waiting);
    metrics.set_gauge("target_limit", load.limit);
    metrics.set_gauge("target_slowdown", load.slowdown);
    metrics.set_gauge("target_failure_share", load.failure_share);
    metrics.set_gauge("target_stated_rate", load.stated_rate.value_or(0));
    metrics.set_gauge("target_open", load.closed ? 0 : 1);
    metrics.set_gauge(
        "target_connections_opened",
        static_cast<double>(this->state.target.opened_connections()));
    metrics.set_gauge(
        "configuration_version",
        configuration ? static_cast<double>(configuration->version) : 0);
    if (configuration && configuration->requires_accounts)
    {
        auto const age = this->state.configuration_age();
        metrics.set_gauge("configuration_age_seconds",
                          age ? to_milliseconds(*age) / 1000 : -1);
    }
    metrics.set_gauge("nodes_known",
                      static_cast<double>(this->state.fleet.node_count()));
    auto const & crashes = this->state.target.crash_monitor();
    metrics.set_gauge("target_crashes",
                      static_cast<double>(crashes.crash_count()));
    metrics.set_gauge("requests_quarantined",
                      static_cast<double>(crashes.crashing().size()));
    if (this->state.own_rollout)
    {
        auto const counts = this->state.target.rollout_report();
        auto const total = counts.total();
        metrics.set_gauge("rollout_arrivals",
                          static_cast<double>(total.arrivals));
        metrics.set_gauge("rollout_responses",
                          static_cast<double>(total.responses));
        metrics.set_gauge("rollout_failures",
                          static_cast<double>(total.failures));
        metrics.set_gauge("rollout_gate_open", counts.closed ? 0 : 1);
        metrics.set_gauge("rollout_coordinator",
                          this->rollout.is_coordinator() ? 1 : 0);
    }
    metrics.set_gauge("response_bytes",
                      static_cast<double>(this->state.responses.total()));
    auto const & connections = this->state.connections.budget();
    metrics.set_gauge("client_connections",
                      static_cast<double>(connections.count()));
    metrics.set_gauge("client_bytes",
                      static_cast<double>(connections.ordinary_total()));
    metrics.set_gauge("client_large_body_bytes",
                      static_cast<double>(connections.large_total()));
    metrics.set_gauge("log_lines_left_out",
                      static_cast<double>(this->state.log.dropped_count()));
    if (this->state.allotments != nullptr)
    {
        this->state.allotments->write_metrics();
    }
    response_message response{http::status::ok, 11};
    response.set(http::field::content_type, "text/plain; version=0.0.4");
    response.body() = metrics.to_text();
    response.prepare_payload();
    incoming->respond(std::move(response));
}

void metrics_service::respond_with_rollouts(exchange & incoming)
{
    response_message response{http::status::ok, 11};
    response.set(http::field::content_type, "application/json");
    response.body() = this->rollout.describe();
    response.prepare_payload();
    incoming.respond(std::move(response));
}

} // namespace endivehinge::detail

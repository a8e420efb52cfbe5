#ifndef ENDIVEHINGE_DETAIL_GATEWAY_GATEWAY_PARTS_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_GATEWAY_PARTS_HPP

#include <functional> // function

#include <boost/asio/io_context.hpp>   // io_context
#include <boost/asio/steady_timer.hpp> // steady_timer

#include <endivehinge/detail/gateway/allotment_client.hpp>
#include <endivehinge/detail/gateway/allotment_service.hpp>
#include <endivehinge/detail/gateway/client_service.hpp>
#include <endivehinge/detail/gateway/crash_report_sender.hpp>
#include <endivehinge/detail/gateway/gateway_adapters.hpp>
#include <endivehinge/detail/gateway/gateway_state.hpp>
#include <endivehinge/detail/gateway/http_listener.hpp>
#include <endivehinge/detail/gateway/metrics_service.hpp>
#include <endivehinge/detail/gateway/peer_service.hpp>
#include <endivehinge/detail/gateway/readiness_service.hpp>
#include <endivehinge/detail/gateway/replica_sync.hpp>
#include <endivehinge/detail/gateway/report_service.hpp>
#include <endivehinge/detail/gateway/rollout_control.hpp>

namespace endivehinge::detail
{

/// @brief the components of one gateway, in the order of construction
/// @note thread safety: none; used on the event loop only
class gateway_parts
{
public:
    gateway_parts(boost::asio::io_context & loop,
                  gateway_settings initial_settings,
                  gateway_adapters platform_adapters)
        : io(loop)
        , adapters(std::move(platform_adapters))
        , state(io, std::move(initial_settings), *adapters.messages)
        , replicas(state, *adapters.store)
        , rollouts(state, replicas)
        , clients(state)
        , allotments(state)
        , allotment_messages(state, allotments)
        , peers(state, replicas, allotment_messages, rollouts)
        , crash_reports(state)
        , readiness(state)
        , reports(state, *adapters.reports, replicas)
        , metrics(state, rollouts)
        , client_listener(
              io, clients, state.connections, listener_kind::clients)
        , peer_listener(io, peers, state.connections, listener_kind::nodes)
        , readiness_listener(
              io, readiness, state.connections, listener_kind::readiness)
        , report_listener(
              io, reports, state.connections, listener_kind::reports)
        , metrics_listener(
              io, metrics, state.connections, listener_kind::metrics)
        , stop_timer(io)
    {
        state.allotments = &allotments;
    }

    /// @brief opens the listeners and starts serving
    /// @param reason connect_failed with the address that could not be bound
    /// @pre called once
    [[nodiscard]] bool open(failure & reason);

    /// @brief reports not ready to the platform and drains requests in progress
    /// @param callback called when none is in progress or the stop deadline has
    /// passed
    void stop(std::function<void()> callback);

    /// @brief applies the settings that can change while the process runs
    void reload(gateway_settings const & new_settings);

    boost::asio::io_context & io;
    gateway_adapters adapters;
    gateway_state state;
    replica_sync replicas;
    rollout_control rollouts;
    client_service clients;
    allotment_client allotments;
    allotment_service allotment_messages;
    peer_service peers;
    crash_report_sender crash_reports;
    readiness_service readiness;
    report_service reports;
    metrics_service metrics;
    http_listener client_listener;
    http_listener peer_listener;
    http_listener readiness_listener;
    http_listener report_listener;
    http_listener metrics_listener;
    boost::asio::steady_timer stop_timer;
    time_point stop_started;
    // set during a stop when no more connections are accepted; the process ends
    // once all responses are delivered
    bool ending = false;
    // set during a stop once the accounts of this node are left to others
    bool retired = false;
    // set during a stop once requests in progress are answered by the node
    bool concluded = false;
    std::function<void()> on_stopped;

private:
    void apply_configuration();
    /// @brief applies the configured properties of the own target's service
    void apply_target_properties();
    void check_stopped();
    /// @brief answers requests that cannot complete before the process ends
    void review_requests(time_point now);
};

} // namespace endivehinge::detail

#endif

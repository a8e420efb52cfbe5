#ifndef ENDIVEHINGE_GATEWAY_GATEWAY_PARTS_HPP
#define ENDIVEHINGE_GATEWAY_GATEWAY_PARTS_HPP

#include <boost/asio/io_context.hpp>   // io_context
#include <boost/asio/signal_set.hpp>   // signal_set
#include <boost/asio/steady_timer.hpp> // steady_timer

#include <endivehinge/detail/gateway/client_service.hpp>
#include <endivehinge/detail/gateway/gateway_adapters.hpp>
#include <endivehinge/detail/gateway/gateway_state.hpp>
#include <endivehinge/detail/gateway/http_listener.hpp>
#include <endivehinge/detail/gateway/metrics_service.hpp>
#include <endivehinge/detail/gateway/peer_service.hpp>
#include <endivehinge/detail/gateway/readiness_service.hpp>
#include <endivehinge/detail/gateway/replica_sync.hpp>
#include <endivehinge/detail/gateway/report_service.hpp>

namespace endivehinge::detail
{

/// @brief the parts of one gateway, in the order of their making
class gateway_parts
{
public:
    gateway_parts(gateway_settings chosen, gateway_adapters means)
        : adapters(std::move(means))
        , state(io, std::move(chosen), *adapters.messages)
        , replicas(state, *adapters.store)
        , clients(state)
        , peers(state, replicas)
        , readiness(state)
        , reports(state, *adapters.reports, replicas)
        , metrics(state)
        , client_listener(io, clients)
        , peer_listener(io, peers)
        , readiness_listener(io, readiness)
        , report_listener(io, reports)
        , metrics_listener(io, metrics)
        , signals(io)
        , stop_timer(io)
    {
    }

    boost::asio::io_context io{1};
    gateway_adapters adapters;
    gateway_state state;
    replica_sync replicas;
    client_service clients;
    peer_service peers;
    readiness_service readiness;
    report_service reports;
    metrics_service metrics;
    http_listener client_listener;
    http_listener peer_listener;
    http_listener readiness_listener;
    http_listener report_listener;
    http_listener metrics_listener;
    boost::asio::signal_set signals;
    boost::asio::steady_timer stop_timer;
    time_point stop_began;
};

} // namespace endivehinge::detail

#endif

#ifndef ENDIVEHINGE_DETAIL_GATEWAY_GATEWAY_STATE_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_GATEWAY_STATE_HPP

#include <memory> // unique_ptr
#include <random> // mt19937
#include <string> // string

#include <absl/container/flat_hash_map.h> // flat_hash_map
#include <boost/asio/io_context.hpp>      // io_context

#include <endivehinge/detail/gateway/event_log.hpp>
#include <endivehinge/detail/gateway/fleet_view.hpp>
#include <endivehinge/detail/gateway/gateway_metrics.hpp>
#include <endivehinge/detail/gateway/gateway_settings.hpp>
#include <endivehinge/detail/gateway/local_target.hpp>
#include <endivehinge/detail/gateway/message_adapter.hpp>
#include <endivehinge/detail/gateway/peer_node.hpp>
#include <endivehinge/policy/service_retry_budget.hpp>
#include <endivehinge/policy/target_selector.hpp>
#include <endivehinge/policy/traffic_splitter.hpp>

namespace endivehinge::detail
{

/// @brief what the requests of one process share
/// @note thread safety: none; used on the event loop only
class gateway_state
{
public:
    gateway_state(boost::asio::io_context & loop,
                  gateway_settings chosen,
                  message_adapter const & codec);

    /// @brief the other node at an address; made where it is new
    [[nodiscard]] peer_node & peer(endpoint const & address);

    /// @brief the repeats that a service may receive from this node
    [[nodiscard]] service_retry_budget &
    retry_budget_of(service_name const & service);

    /// @brief the mean time that a route's requests run at a target of usual
    /// speed
    [[nodiscard]] duration mean_service_time(service_route const & route) const;

    /// @brief notes a run of a route's request
    void record_service_time(service_route const & route,
                             duration ran,
                             double slowdown);

    /// @brief a number in [0, 1)
    [[nodiscard]] double random();

    boost::asio::io_context & io;
    gateway_settings settings;
    message_adapter const & adapter;
    event_log log;
    gateway_metrics metrics;
    fleet_view fleet;
    traffic_splitter splits;
    target_selector selector;
    local_target target;
    // another node tells the versions of its copies of the store
    peer_node::versions_handler on_peer_versions;
    // what requests to other nodes tell of this one
    hop_sender own_sender;
    bool stopping = false;
    // while it stops: when the process ends at the latest
    time_point stop_deadline;

private:
    absl::flat_hash_map<endpoint, std::unique_ptr<peer_node>> peers;
    absl::flat_hash_map<service_name, service_retry_budget> budgets;
    absl::flat_hash_map<std::string, duration> work;
    std::mt19937 generator;
};

} // namespace endivehinge::detail

#endif

#ifndef ENDIVEHINGE_DETAIL_GATEWAY_GATEWAY_STATE_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_GATEWAY_STATE_HPP

#include <functional> // function
#include <memory>     // unique_ptr
#include <random>     // mt19937
#include <string>     // string
#include <vector>     // vector

#include <absl/container/flat_hash_map.h> // flat_hash_map
#include <boost/asio/io_context.hpp>      // io_context

#include <endivehinge/detail/gateway/connection_counter.hpp>
#include <endivehinge/detail/gateway/connection_registry.hpp>
#include <endivehinge/detail/gateway/event_log.hpp>
#include <endivehinge/detail/gateway/fleet_view.hpp>
#include <endivehinge/detail/gateway/gateway_metrics.hpp>
#include <endivehinge/detail/gateway/gateway_settings.hpp>
#include <endivehinge/detail/gateway/local_target.hpp>
#include <endivehinge/detail/gateway/message_adapter.hpp>
#include <endivehinge/detail/gateway/peer_node.hpp>
#include <endivehinge/detail/gateway/response_registry.hpp>
#include <endivehinge/detail/gateway/rollout_participant.hpp>
#include <endivehinge/detail/gateway/rollout_routing.hpp>
#include <endivehinge/policy/account_backoff.hpp>
#include <endivehinge/policy/account_check.hpp>
#include <endivehinge/policy/attempt_age_estimator.hpp>
#include <endivehinge/policy/hedge_policy.hpp>
#include <endivehinge/policy/service_retry_budget.hpp>
#include <endivehinge/policy/stop_schedule.hpp>
#include <endivehinge/policy/target_selector.hpp>
#include <endivehinge/policy/traffic_splitter.hpp>

namespace endivehinge::detail
{

class allotment_client;

/// @brief state shared by all requests of one gateway
/// @note thread safety: none; used on the event loop only
class gateway_state
{
public:
    gateway_state(boost::asio::io_context & loop,
                  gateway_settings initial_settings,
                  message_adapter const & codec);

    /// @brief the node at an address; created on first use
    [[nodiscard]] peer_node & peer(endpoint const & address);

    /// @brief the limit on retries from this node to a service
    [[nodiscard]] service_retry_budget &
    retry_budget_of(service_name const & service);

    /// @brief the mean service time of a route's requests at a target of normal
    /// speed
    [[nodiscard]] duration mean_service_time(service_route const & route) const;

    /// @brief adds the service time of a request to the mean of its route
    void record_service_time(service_route const & route,
                             duration service_time,
                             double slowdown);

    /// @brief calls back once, when the next configuration is in force
    /// @note does nothing if too many callbacks are registered
    void on_next_configuration(std::function<void()> callback);

    /// @brief runs and removes the callbacks of on_next_configuration()
    void notify_configuration();

    /// @brief limits on the age of this node's knowledge of accounts
    [[nodiscard]] account_check_bounds account_bounds() const;

    /// @brief why the account of a request forbids its start at the target of
    /// this node, or null
    [[nodiscard]] char const * start_refusal(dispatch_request const & request);

    /// @brief records that a client's connection met a limit
    void record_client_limit(client_limit limit, listener_kind listener);

    /// @brief a uniformly distributed random number in [0, 1)
    [[nodiscard]] double random();

    boost::asio::io_context & io;
    gateway_settings settings;
    message_adapter const & adapter;
    event_log log;
    gateway_metrics metrics;
    fleet_view fleet;
    traffic_splitter splits;
    target_selector selector;
    account_backoff account_backoffs;
    hedge_policy hedges;
    attempt_age_estimator attempt_ages;
    // null where roll-outs are not in force
    std::unique_ptr<rollout_routing> rollouts;
    // the part of this node's target in the roll-out of its service; null where
    // roll-outs are not in force
    std::unique_ptr<rollout_participant> own_rollout;
    response_registry responses;
    connection_registry connections;
    connection_counter peer_connections;
    local_target target;
    // called when another node sends the versions of its store copies
    peer_node::versions_handler on_peer_versions;
    // time since the active configuration was known to be the store's current
    // one; empty if it was not since this process started
    std::function<std::optional<duration>()> configuration_age = []
    {
        return std::optional<duration>();
    };
    // whether clients may be served by the active configuration: it was known
    // to be current since this process started, or nothing can tell
    std::function<bool()> is_configuration_confirmed = []
    {
        return true;
    };
    // set while the gateway runs; gets tokens for accounts with a limit
    allotment_client * allotments = nullptr;
    // describes this node in requests to other nodes
    hop_sender own_sender;
    bool stopping = false;
    // set while stopping
    stop_schedule stop;

private:
    absl::flat_hash_map<endpoint, std::unique_ptr<peer_node>> peers;
    absl::flat_hash_map<service_name, service_retry_budget> budgets;
    absl::flat_hash_map<std::string, duration> service_times;
    std::vector<std::function<void()>> configuration_callbacks;
    std::mt19937 generator;
};

} // namespace endivehinge::detail

#endif

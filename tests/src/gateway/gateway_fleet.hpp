#ifndef ENDIVEHINGE_TESTS_GATEWAY_GATEWAY_FLEET_HPP
#define ENDIVEHINGE_TESTS_GATEWAY_GATEWAY_FLEET_HPP

#include <cstdint>    // int64_t
#include <functional> // function
#include <memory>     // unique_ptr
#include <optional>   // optional
#include <string>     // string
#include <utility>    // pair
#include <vector>     // vector

#include <boost/asio/io_context.hpp> // io_context
#include <nlohmann/json.hpp>         // json

#include <endivehinge/detail/gateway/gateway_parts.hpp>

#include "fault_relay.hpp"
#include "store_stand_in.hpp"
#include "target_stand_in.hpp"

namespace endivehinge::tests
{

/// @brief a node with the stand-in for its target
struct fleet_member
{
    std::unique_ptr<target_stand_in> target;
    // relay between node and target, if use_target_relays is set
    std::unique_ptr<fault_relay> target_link;
    std::unique_ptr<detail::gateway_parts> node;
    // relay between node and store, if use_store_relays is set
    std::unique_ptr<fault_relay> store_link;
    // what the target states in its reports; an empty service stands for that
    // of the node
    std::string version = "v1";
    std::string service;
    std::int64_t started_ms = 1000;
};

/// @brief nodes, targets and a store stand-in in one process on one event loop
class gateway_fleet
{
public:
    gateway_fleet();

    /// @brief adds a node with a new target and starts the node
    fleet_member & add(std::string const & service,
                       std::string const & domain = "d1",
                       std::string const & version = "v1");

    /// @brief replaces a member's node by a new process, which knows nothing of
    /// before; the target keeps running
    void restart_node(fleet_member & member);

    /// @brief writes a configuration that routes /safe/ as safe and /unsafe/ as
    /// unsafe to a service, and /public/ as safe and public if there are
    /// tenants
    void configure(int version, std::string const & service);

    /// @brief sends a status report of the target to its node
    /// @return the HTTP status of the response
    unsigned
    report(fleet_member & member, std::string const & state, int sequence);

    /// @brief sends a status report without waiting for the response
    std::shared_ptr<detail::client_connection>
    send_report(fleet_member & member,
                std::string const & state,
                int sequence,
                std::function<void(detail::call_result)> done);

    /// @brief configures the service, adds members and waits until each node
    /// has the configuration and the entries of all targets
    void start_members(std::size_t members, std::string const & service);

    /// @brief a client request to a node
    struct client_call
    {
        std::shared_ptr<detail::client_connection> connection;
        std::optional<detail::call_result> result;
    };

    /// @brief sends a request without waiting for the response
    std::shared_ptr<client_call> send(fleet_member & member,
                                      std::string const & path,
                                      std::string const & id,
                                      int time_left_ms = 3000);

    /// @brief sends a request and waits for the response
    detail::call_result send_and_wait(fleet_member & member,
                                      std::string const & path,
                                      std::string const & id,
                                      int time_left_ms = 3000);

    /// @brief runs the event loop until a condition holds
    /// @return false if it does not hold within 20 s
    bool run_until(std::function<bool()> const & condition);

    /// @brief runs the event loop for a duration
    void run_for(duration length);

    [[nodiscard]] std::size_t
    execution_count(std::string const & request) const;

    boost::asio::io_context io{1};
    store_stand_in store;
    std::vector<std::unique_ptr<fleet_member>> members;
    int route_attempts = 2;
    double route_timeout_s = 2.0;
    // in the settings of each new node
    double hedge_share = 0;
    // seeds in the settings of each new node
    std::vector<endpoint> seeds;
    // written by configure(); no client accounts if null
    nlohmann::json tenants;
    // body of each request that is sent with POST
    std::string upload = "booking";
    // further fields of each request that is sent
    std::vector<std::pair<std::string, std::string>> request_fields;
    // in the settings of each new node
    detail::account_bounds account_bounds;
    // bounds of roll-outs in the settings of each new node; empty: none
    std::optional<detail::rollout_bounds> rollouts;
    // puts a relay between each new node and its target
    bool use_target_relays = false;
    // puts a relay between each new node and the store
    bool use_store_relays = false;

private:
    /// @brief reserves a port by keeping a socket bound to it, so that no
    /// outgoing connection gets the port before the listener opens
    endpoint reserve_address();

    void start_node(fleet_member & member, detail::gateway_settings settings);

    std::vector<boost::asio::ip::tcp::socket> reserved_ports;
    std::vector<std::unique_ptr<detail::upstream>> clients;
    // replaced nodes, whose pending operations refer to them
    std::vector<std::unique_ptr<detail::gateway_parts>> ended_nodes;
};

} // namespace endivehinge::tests

#endif

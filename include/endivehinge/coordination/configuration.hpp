#ifndef ENDIVEHINGE_COORDINATION_CONFIGURATION_HPP
#define ENDIVEHINGE_COORDINATION_CONFIGURATION_HPP

#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

#include <absl/container/flat_hash_set.h> // flat_hash_set

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/ids.hpp>
#include <endivehinge/core/request.hpp>

namespace endivehinge
{

/// @brief what holds for the requests of one method below one path
struct route_rule
{
    // empty: every method
    std::string method;
    std::string path_prefix;
    bool repeatable = false;
    priority urgency = priority::interactive;
    // none: the deadline of the service
    std::optional<duration> deadline;
};

/// @brief what a service promises its callers
struct service_objective
{
    // share of requests, 0 to 1, that are answered within the latency
    double target_share = 0.999;
    duration latency = std::chrono::milliseconds(250);
};

/// @brief one service of the operators' text
struct service_configuration
{
    service_name name;
    std::vector<service_name> depends_on;
    duration deadline = std::chrono::seconds(1);
    std::vector<route_rule> routes;
    service_objective objective;
    // extra tries as a share of first tries
    double retry_share = 0.1;
    // second sends to a target that stays silent, as a share of requests
    double hedge_share = 0.05;
    // checks of a target after a lost connection, a second
    double measurements_per_second = 4.0;
    // how long a key and its answer are kept
    duration idempotency_window = std::chrono::minutes(10);

    /// @brief the first rule that matches, or null
    /// @note pure; thread safety: as a const object
    [[nodiscard]] route_rule const * match(std::string const & method,
                                           std::string const & path) const;
};

/// @brief what the operators want: their text, and what is out of service
struct configuration
{
    object_version version;
    std::vector<service_configuration> services;
    absl::flat_hash_set<failure_domain> drained_domains;
    // by the node beside it
    absl::flat_hash_set<node_name> drained_targets;

    /// @brief the service of that name, or null
    /// @note pure; thread safety: as a const object
    [[nodiscard]] service_configuration const *
    find(service_name const & name) const;

    /// @brief whether the target beside a node is to get no new work
    /// @note pure; thread safety: as a const object
    [[nodiscard]] bool is_drained(failure_domain const & domain,
                                  node_name const & node) const;
};

} // namespace endivehinge

#endif

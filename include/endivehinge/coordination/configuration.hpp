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

/// @brief settings of the requests with one method and path prefix
struct route_rule
{
    // empty: matches every method
    std::string method;
    std::string path_prefix;
    bool repeatable = false;
    priority urgency = priority::interactive;
    // unset: the deadline of the service applies
    std::optional<duration> deadline;
};

/// @brief service level objective
struct service_objective
{
    // fraction of requests, 0 to 1, to be answered within `latency`
    double target_share = 0.999;
    duration latency = std::chrono::milliseconds(250);
};

/// @brief configuration of one service, as operators write it
struct service_configuration
{
    service_name name;
    std::vector<service_name> depends_on;
    duration deadline = std::chrono::seconds(1);
    std::vector<route_rule> routes;
    service_objective objective;
    // retries as a fraction of first attempts
    double retry_share = 0.1;
    // hedged requests, sent when a target does not respond, as a fraction of
    // all requests
    double hedge_share = 0.05;
    // checks of a target after a lost connection, per second
    double measurements_per_second = 4.0;
    // how long an idempotency key and its response are stored
    duration idempotency_window = std::chrono::minutes(10);

    /// @brief returns the first matching rule, or null
    /// @note pure; thread safety: any thread while the object is not modified
    [[nodiscard]] route_rule const * match(std::string const & method,
                                           std::string const & path) const;
};

/// @brief complete configuration at one version: the services, and the
///        failure domains and targets that operators have drained
struct configuration
{
    object_version version;
    std::vector<service_configuration> services;
    absl::flat_hash_set<failure_domain> drained_domains;
    // each named by the node beside the target
    absl::flat_hash_set<node_name> drained_targets;

    /// @brief returns the service with this name, or null
    /// @note pure; thread safety: any thread while the object is not modified
    [[nodiscard]] service_configuration const *
    find(service_name const & name) const;

    /// @brief whether the target beside a node shall receive no new requests
    /// @note pure; thread safety: any thread while the object is not modified
    [[nodiscard]] bool is_drained(failure_domain const & domain,
                                  node_name const & node) const;
};

} // namespace endivehinge

#endif

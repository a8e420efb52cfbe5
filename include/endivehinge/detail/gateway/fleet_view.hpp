#ifndef ENDIVEHINGE_DETAIL_GATEWAY_FLEET_VIEW_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_FLEET_VIEW_HPP

#include <cstdint>  // uint64_t
#include <memory>   // shared_ptr, unique_ptr
#include <optional> // optional
#include <vector>   // vector

#include <absl/container/btree_map.h>     // btree_map
#include <absl/container/flat_hash_map.h> // flat_hash_map
#include <absl/container/flat_hash_set.h> // flat_hash_set

#include <endivehinge/policy/rollout_entry.hpp>
#include <endivehinge/policy/routing_configuration.hpp>
#include <endivehinge/policy/target_entry.hpp>

namespace endivehinge::detail
{

/// @brief a roll-out as far as this node knows it
struct known_rollout
{
    rollout_entry entry;
    // false: the store returned from a copy without the conclusion in the
    // entry, which is to be written again
    bool is_conclusion_stored = true;
};

/// @brief the active configuration, the evacuated failure domains and the
/// targets of all nodes, as far as this node has received them
/// @note thread safety: none; used on the event loop only
class fleet_view
{
public:
    using configuration_pointer = std::shared_ptr<routing_configuration const>;

    /// @brief activates a configuration if its version is newer
    /// @return whether it was activated
    bool set_configuration(configuration_pointer candidate);

    /// @return null until a configuration has been received
    [[nodiscard]] configuration_pointer const & configuration() const;

    /// @brief sets the failure domains whose targets get no requests
    void set_evacuated(absl::flat_hash_set<failure_domain> domains);

    [[nodiscard]] absl::flat_hash_set<failure_domain> const &
    evacuated_domains() const;

    [[nodiscard]] bool is_evacuated(failure_domain const & domain) const;

    /// @brief adds or replaces the entry of a node's target
    void set_target(target_entry const & entry);

    /// @brief removes the entry of a node's target
    void remove_target(node_name const & node);

    /// @brief adds or replaces the roll-out of a service; ignored if it has an
    /// earlier version than the known one
    void set_rollout(known_rollout const & rollout);

    /// @brief removes the roll-out of a service
    void remove_rollout(service_name const & service);

    /// @brief null if no order for the service is known
    [[nodiscard]] known_rollout const *
    find_rollout(service_name const & service) const;

    /// @brief all known roll-outs, by service
    [[nodiscard]] absl::btree_map<service_name, known_rollout> const &
    rollouts() const;

    /// @brief records that a list of all roll-outs was received
    void set_rollouts_known();

    /// @brief whether this process received a list of all roll-outs; until then
    /// the absence of an order means nothing
    [[nodiscard]] bool knows_rollouts() const;

    /// @brief increases with each change of targets, evacuations and roll-outs
    [[nodiscard]] std::uint64_t change_count() const;

    /// @brief the entries of a service that are ready and not in an evacuated
    /// failure domain
    [[nodiscard]] std::vector<target_entry const *>
    ready_targets(service_name const & service) const;

    /// @brief the entries of all nodes of a failure domain
    [[nodiscard]] std::vector<target_entry const *>
    targets_in(failure_domain const & domain) const;

    /// @brief the entries of all nodes but one
    [[nodiscard]] std::vector<target_entry const *>
    targets_except(node_name const & node) const;

    /// @brief number of nodes with an entry, at least 1 for this node
    [[nodiscard]] std::size_t node_count() const;

private:
    configuration_pointer active_configuration;
    absl::flat_hash_set<failure_domain> evacuated;
    absl::flat_hash_map<node_name, std::unique_ptr<target_entry>> targets;
    absl::btree_map<service_name, known_rollout> rollouts_by_service;
    bool rollouts_received = false;
    std::uint64_t changes = 0;
};

} // namespace endivehinge::detail

#endif

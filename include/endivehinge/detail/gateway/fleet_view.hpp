#ifndef ENDIVEHINGE_DETAIL_GATEWAY_FLEET_VIEW_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_FLEET_VIEW_HPP

#include <memory>   // shared_ptr, unique_ptr
#include <optional> // optional
#include <vector>   // vector

#include <absl/container/flat_hash_map.h> // flat_hash_map
#include <absl/container/flat_hash_set.h> // flat_hash_set

#include <endivehinge/policy/routing_configuration.hpp>
#include <endivehinge/policy/target_entry.hpp>

namespace endivehinge::detail
{

/// @brief what this node knows of the operators' will and of all targets
/// @note thread safety: none; used on the event loop only
class fleet_view
{
public:
    using configuration_pointer = std::shared_ptr<routing_configuration const>;

    /// @brief puts a configuration in force; an older one is ignored
    /// @return whether it was newer
    bool set_configuration(configuration_pointer newer);

    /// @return null where none is known yet
    [[nodiscard]] configuration_pointer const & configuration() const;

    /// @brief the failure domains that take no work
    void set_evacuated(absl::flat_hash_set<failure_domain> domains);

    [[nodiscard]] absl::flat_hash_set<failure_domain> const &
    evacuated_domains() const;

    [[nodiscard]] bool is_evacuated(failure_domain const & domain) const;

    /// @brief replaces what is known of one node's target
    void set_target(target_entry const & entry);

    /// @brief removes what is known of one node's target
    void remove_target(node_name const & node);

    /// @brief the targets of a service that may take work
    [[nodiscard]] std::vector<target_entry const *>
    ready_targets(service_name const & service) const;

    /// @brief the entries of all nodes of a failure domain
    [[nodiscard]] std::vector<target_entry const *>
    targets_of(failure_domain const & domain) const;

    /// @brief the entries of all nodes but one
    [[nodiscard]] std::vector<target_entry const *>
    other_targets(node_name const & node) const;

    /// @brief nodes that are known, this one included
    [[nodiscard]] std::size_t node_count() const;

private:
    configuration_pointer current;
    absl::flat_hash_set<failure_domain> evacuated;
    absl::flat_hash_map<node_name, std::unique_ptr<target_entry>> targets;
};

} // namespace endivehinge::detail

#endif

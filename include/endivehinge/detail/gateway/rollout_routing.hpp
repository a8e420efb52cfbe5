#ifndef ENDIVEHINGE_DETAIL_GATEWAY_ROLLOUT_ROUTING_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_ROLLOUT_ROUTING_HPP

#include <cstdint> // uint64_t
#include <vector>  // vector

#include <absl/container/flat_hash_map.h> // flat_hash_map
#include <absl/container/flat_hash_set.h> // flat_hash_set

#include <endivehinge/detail/gateway/fleet_view.hpp>
#include <endivehinge/policy/rollout_version_filter.hpp>

namespace endivehinge::detail
{

/// @brief which targets of a service may get a request while its version
/// changes; exists only where roll-outs are in force
/// @note thread safety: none; used on the event loop only
class rollout_routing
{
public:
    /// @param configuration_delay time in which a change of the store reaches
    /// all nodes
    rollout_routing(fleet_view const & known_fleet,
                    duration configuration_delay);

    /// @brief the targets to which a request may be sent next
    /// @param candidates targets of the service that the request may still use
    /// @param draw uniformly distributed, from 0 to less than 1; the same one
    /// for all placements of a request
    [[nodiscard]] std::vector<target_entry const *>
    filter(service_name const & service,
           std::vector<target_entry const *> const & candidates,
           double draw,
           time_point now);

    /// @brief whether targets of this version may get requests at all
    [[nodiscard]] bool allows(service_name const & service,
                              software_version const & version,
                              time_point now);

    /// @brief whether all ready targets of the service have this version
    [[nodiscard]] bool is_sole(service_name const & service,
                               software_version const & version) const;

    /// @brief the order for a service and its status, if one is known
    [[nodiscard]] std::optional<rollout_entry>
    entry_of(service_name const & service) const;

private:
    struct service_state
    {
        rollout_version_filter filter;
        // change of the fleet view that was applied last
        std::uint64_t change = 0;
        bool knew_rollouts = false;
        // new targets that get requests in stage trial
        absl::flat_hash_set<node_name> trial_nodes;
    };

    [[nodiscard]] service_state & refresh(service_name const & service,
                                          time_point now);
    void choose_trial_nodes(service_name const & service,
                            service_state & state) const;
    /// @brief the time for the filter: it stands still until the roll-outs are
    /// known, so that a version which is held back stays so
    [[nodiscard]] time_point filter_time(time_point now) const;

    fleet_view const & fleet;
    duration hold_time;
    absl::flat_hash_map<service_name, service_state> services;
};

} // namespace endivehinge::detail

#endif

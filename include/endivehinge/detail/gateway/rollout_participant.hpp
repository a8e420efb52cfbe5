#ifndef ENDIVEHINGE_DETAIL_GATEWAY_ROLLOUT_PARTICIPANT_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_ROLLOUT_PARTICIPANT_HPP

#include <cstdint>  // uint64_t
#include <optional> // optional
#include <string>   // string

#include <endivehinge/detail/gateway/event_log.hpp>
#include <endivehinge/detail/gateway/gateway_settings.hpp>
#include <endivehinge/detail/gateway/rollout_routing.hpp>
#include <endivehinge/policy/rollout_counts.hpp>
#include <endivehinge/policy/rollout_gate.hpp>

namespace endivehinge::detail
{

/// @brief the gate and the counts of the target beside this node during a
/// roll-out of its service; exists only where roll-outs are in force
/// @note thread safety: none; used on the event loop only
class rollout_participant
{
public:
    rollout_participant(gateway_settings const & node_settings,
                        fleet_view const & known_fleet,
                        rollout_routing & version_routing,
                        event_log & events);

    /// @brief sets the version that the target states; empty until it is known,
    /// and then the gate is closed
    void set_version(std::optional<software_version> const & stated);

    /// @brief whether the target may get a request now
    [[nodiscard]] bool accepts();

    /// @brief whether the order has ended with the other version, so that a
    /// request that was accepted earlier must not start any more
    [[nodiscard]] bool is_excluded();

    /// @brief counts a request that was accepted
    /// @pre accepts() was true
    void record_accepted(std::string const & route);

    /// @brief counts a good response
    /// @param run_time at normal speed of the target; empty if not comparable
    void record_response(std::string const & route,
                         std::optional<duration> run_time);

    /// @brief counts a bad response by fault of the target, or a lost one
    void record_failure(std::string const & route);

    /// @brief processes an instruction of a coordinator
    /// @return whether it is obeyed
    bool apply(rollout_instruction const & received);

    /// @brief the counts since the order
    /// @param cold whether the target is cold
    /// @param in_progress requests accepted and not yet finished
    [[nodiscard]] rollout_counts counts(bool cold, std::uint64_t in_progress);

    /// @brief time since this node first knew of the order
    [[nodiscard]] duration order_age() const;

    /// @brief time since the coordinator was last seen in charge: its last
    /// instruction, its last status, or the first sight of the order
    [[nodiscard]] duration since_coordinator() const;

    /// @brief highest term that this node obeyed
    [[nodiscard]] std::uint64_t term() const;

private:
    [[nodiscard]] rollout_route_counts & counts_of(std::string const & route);
    void refresh();
    void log_gate(bool is_open);

    gateway_settings const & settings;
    fleet_view const & fleet;
    rollout_routing & routing;
    event_log & log;
    incarnation process;
    rollout_gate gate;
    std::optional<software_version> version;
    rollout_counts current;
    object_version entry_version;
    std::uint64_t applied_change = 0;
    time_point next_refresh;
    time_point order_since;
    time_point coordinator_seen;
    // the state that the last log line reported
    bool was_open = false;
};

} // namespace endivehinge::detail

#endif

#ifndef ENDIVEHINGE_DETAIL_GATEWAY_TARGET_CHOOSER_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_TARGET_CHOOSER_HPP

#include <optional> // optional
#include <vector>   // vector

#include <absl/container/flat_hash_set.h> // flat_hash_set

#include <endivehinge/detail/gateway/gateway_state.hpp>

namespace endivehinge::detail
{

/// @brief target selected for one placement and the data used to select it
struct chosen_target
{
    target_entry entry;
    target_candidate candidate;
};

/// @brief selects targets of a service for the placements of one request
///
/// Selects each target at most once, unless allow_retry() is called for it.
/// @note thread safety: none; used on the event loop only
class target_chooser
{
public:
    explicit target_chooser(gateway_state & shared_state);

    /// @brief selects a reachable target that was not selected before
    /// @return no value if there is none
    [[nodiscard]] std::optional<chosen_target>
    choose(service_name const & service, service_route const & route);

    /// @brief selects a target that was not selected before and is known to
    /// have room for a request that starts at once
    /// @return no value if there is none
    [[nodiscard]] std::optional<chosen_target>
    choose_with_room(service_name const & service, service_route const & route);

    /// @brief allows a target to be selected again
    void allow_retry(target_id const & target);

private:
    [[nodiscard]] std::optional<std::size_t>
    select(std::vector<target_candidate> const & candidates,
           service_route const & route) const;
    [[nodiscard]] std::vector<target_entry const *>
    eligible_targets(service_name const & service);
    [[nodiscard]] bool is_usable(target_entry const & entry);
    [[nodiscard]] target_candidate candidate_of(target_entry const & entry,
                                                time_point now) const;

    gateway_state & state;
    absl::flat_hash_set<target_id> attempted_targets;
    // decides which version the request is sent to during a roll-out
    std::optional<double> version_draw;
};

} // namespace endivehinge::detail

#endif

#ifndef ENDIVEHINGE_DETAIL_GATEWAY_TARGET_CHOOSER_HPP
#define ENDIVEHINGE_DETAIL_GATEWAY_TARGET_CHOOSER_HPP

#include <optional> // optional
#include <vector>   // vector

#include <absl/container/flat_hash_set.h> // flat_hash_set

#include <endivehinge/detail/gateway/gateway_state.hpp>

namespace endivehinge::detail
{

/// @brief a target for one placement, and what was known of it
struct chosen_target
{
    target_entry entry;
    target_candidate known;
};

/// @brief finds targets of one service for the placements of one request
///
/// Each target is chosen once, unless it is offered again.
/// @note thread safety: none; used on the event loop only
class target_chooser
{
public:
    explicit target_chooser(gateway_state & shared);

    /// @brief a target that was not chosen yet and can be reached
    /// @return nothing where there is none
    [[nodiscard]] std::optional<chosen_target>
    choose(service_name const & service, service_route const & route);

    /// @brief a target may be chosen again
    void offer_again(target_id const & target);

private:
    [[nodiscard]] std::vector<target_entry const *>
    open_targets(service_name const & service) const;
    [[nodiscard]] target_candidate candidate_of(target_entry const & entry,
                                                time_point at) const;

    gateway_state & state;
    absl::flat_hash_set<target_id> tried;
};

} // namespace endivehinge::detail

#endif

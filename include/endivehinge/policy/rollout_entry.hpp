#ifndef ENDIVEHINGE_POLICY_ROLLOUT_ENTRY_HPP
#define ENDIVEHINGE_POLICY_ROLLOUT_ENTRY_HPP

#include <optional> // optional

#include <endivehinge/core/object_version.hpp>
#include <endivehinge/policy/rollout_order.hpp>
#include <endivehinge/policy/rollout_status.hpp>

namespace endivehinge
{

/// @brief a roll-out as held by the store
struct rollout_entry
{
    rollout_order order;
    std::optional<rollout_status> status;
    object_version version;
};

/// @brief state of the order; a status written for another target version does
/// not apply to it
/// @note pure; thread safety: any thread
[[nodiscard]] inline rollout_state state_of(rollout_entry const & entry)
{
    return entry.status &&
                   entry.status->target_version == entry.order.target_version
               ? entry.status->state
               : rollout_state::none;
}

} // namespace endivehinge

#endif

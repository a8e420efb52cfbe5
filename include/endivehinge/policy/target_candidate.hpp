#ifndef ENDIVEHINGE_POLICY_TARGET_CANDIDATE_HPP
#define ENDIVEHINGE_POLICY_TARGET_CANDIDATE_HPP

#include <optional> // optional

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/ids.hpp>
#include <endivehinge/policy/target_load.hpp>

namespace endivehinge
{

/// @brief a target that could run a request, as seen by the selecting node
struct target_candidate
{
    target_id id;
    // whether the target runs beside the selecting node
    bool local = false;
    bool same_domain = false;
    // last load received from the node beside the target
    std::optional<target_load> load;
    duration load_age{0};
    // requests that this node sent to the target since it received the load
    std::uint32_t sent_since = 0;
    // share of this node's recent requests to the target that failed, 0 to 1
    double failure_share = 0;
};

} // namespace endivehinge

#endif

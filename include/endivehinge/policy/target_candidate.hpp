#ifndef ENDIVEHINGE_POLICY_TARGET_CANDIDATE_HPP
#define ENDIVEHINGE_POLICY_TARGET_CANDIDATE_HPP

#include <optional> // optional

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/ids.hpp>
#include <endivehinge/policy/target_load.hpp>

namespace endivehinge
{

/// @brief one target that could run a request, as a node knows it
struct target_candidate
{
    target_id id;
    // the target beside this node
    bool local = false;
    bool same_domain = false;
    // the last load that was heard
    std::optional<target_load> load;
    // how old it is
    duration load_age{0};
    // requests that this node has sent there since
    std::uint32_t sent_since = 0;
    // share of this node's recent requests there that failed, 0 to 1
    double failure_share = 0;
};

} // namespace endivehinge

#endif

#ifndef ENDIVEHINGE_POLICY_ROLLOUT_INSTRUCTION_HPP
#define ENDIVEHINGE_POLICY_ROLLOUT_INSTRUCTION_HPP

#include <cstdint> // uint64_t

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/ids.hpp>
#include <endivehinge/policy/rollout_status.hpp>

namespace endivehinge
{

/// @brief the coordinator's instruction to the node beside one target; the
/// content of a poll
struct rollout_instruction
{
    service_name service;
    software_version target_version;
    node_name coordinator;
    std::uint64_t term = 0;
    // increases with each instruction of a term; an earlier one that arrives
    // late is ignored
    std::uint64_t sequence = 0;
    rollout_stage stage = rollout_stage::trial;
    // whether the node beside an old target rejects new requests
    bool old_closed = false;
    // the version is about to be rolled back: there are no grants, and old
    // targets are open, whatever the status says
    bool withdrawn = false;
    // process lifetime of the node to which the grant is given; other ones
    // have no grant
    incarnation holder;
    // requests that the node may have accepted since the order; 0: none
    std::uint64_t max_accepted = 0;
    // bad responses since the order at which the gate closes
    std::uint64_t max_failures = 0;
    // end of the grant by the receiving node's clock, see
    // rollout_counts::reported_at. An instruction that is delayed expires in
    // time, whatever the delay
    duration expires_at{0};
};

} // namespace endivehinge

#endif

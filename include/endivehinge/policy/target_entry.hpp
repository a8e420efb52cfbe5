#ifndef ENDIVEHINGE_POLICY_TARGET_ENTRY_HPP
#define ENDIVEHINGE_POLICY_TARGET_ENTRY_HPP

#include <cstdint> // int64_t, uint32_t
#include <vector>  // vector

#include <endivehinge/core/endpoint.hpp>
#include <endivehinge/core/ids.hpp>
#include <endivehinge/policy/crash_report.hpp>

namespace endivehinge
{

/// @brief whether a target accepts requests
enum class target_state
{
    ready,
    draining,
    removed,
};

/// @brief identity, address and state of a target, as published to all nodes
struct target_entry
{
    // the node beside the target
    node_name node;
    // address at which that node accepts requests from other nodes
    endpoint peer;
    target_id id;
    // start of this incarnation, milliseconds since the Unix epoch; 0: unknown
    std::int64_t started_ms = 0;
    service_name service;
    failure_domain domain;
    target_state state = target_state::ready;
    // what the target runs; empty if unknown or if roll-outs are not in force
    software_version version;
    // requests that the target runs concurrently
    std::uint32_t slots = 0;
    // requests that crash the targets of the service
    std::vector<quarantined_request> crashing_requests;

    friend bool operator==(target_entry const & a, target_entry const & b)
    {
        return a.node == b.node && a.peer == b.peer && a.id == b.id &&
               a.started_ms == b.started_ms && a.service == b.service &&
               a.domain == b.domain && a.state == b.state &&
               a.version == b.version && a.slots == b.slots &&
               a.crashing_requests == b.crashing_requests;
    }
};

} // namespace endivehinge

#endif

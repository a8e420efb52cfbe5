#ifndef ENDIVEHINGE_POLICY_TARGET_ENTRY_HPP
#define ENDIVEHINGE_POLICY_TARGET_ENTRY_HPP

#include <cstdint> // uint32_t

#include <endivehinge/core/endpoint.hpp>
#include <endivehinge/core/ids.hpp>

namespace endivehinge
{

/// @brief whether a target takes work
enum class target_state
{
    ready,
    draining,
    removed,
};

/// @brief what all nodes know of one target: who it is and how to reach it
struct target_entry
{
    // the node beside it
    node_name node;
    // where that node takes requests of other nodes
    endpoint peer;
    target_id id;
    service_name service;
    failure_domain domain;
    target_state state = target_state::ready;
    // requests that it runs at once
    std::uint32_t slots = 0;

    friend bool operator==(target_entry const & a, target_entry const & b)
    {
        return a.node == b.node && a.peer == b.peer && a.id == b.id &&
               a.service == b.service && a.domain == b.domain &&
               a.state == b.state && a.slots == b.slots;
    }
};

} // namespace endivehinge

#endif

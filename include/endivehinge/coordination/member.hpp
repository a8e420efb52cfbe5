#ifndef ENDIVEHINGE_COORDINATION_MEMBER_HPP
#define ENDIVEHINGE_COORDINATION_MEMBER_HPP

#include <cstdint> // uint32_t
#include <memory>  // shared_ptr
#include <vector>  // vector

#include <endivehinge/core/endpoint.hpp>
#include <endivehinge/core/ids.hpp>

namespace endivehinge
{

/// @brief what the others believe of a node
enum class member_state
{
    alive = 0,
    suspect = 1,
    // out of reach together with others; kept until heard of again
    unreachable = 2,
    left = 3,
    dead = 4,
};

/// @brief one node and the target beside it
struct member
{
    node_name name;
    incarnation incarnation_number;
    service_name service;
    failure_domain domain;
    region_name region;
    endpoint peer_address;    // requests between nodes
    endpoint control_address; // coordination between nodes
    std::uint32_t slots = 0;
    member_state state = member_state::alive;
    // grows within a run each time the node says something new of itself
    std::uint64_t sequence = 0;
    // whether its target is there and takes new work
    bool accepts_work = false;
};

/// @brief all members at one moment, shared among readers
using member_snapshot = std::shared_ptr<std::vector<member> const>;

/// @brief who is there, as this node knows it
class member_directory
{
public:
    member_directory() = default;
    member_directory(member_directory const &) = delete;
    member_directory & operator=(member_directory const &) = delete;
    virtual ~member_directory() = default;

    /// @brief every member but the dead and the left; never null
    /// @note thread safety: any thread; does not block on I/O
    [[nodiscard]] virtual member_snapshot snapshot() const = 0;
};

} // namespace endivehinge

#endif

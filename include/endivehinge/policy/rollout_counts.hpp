#ifndef ENDIVEHINGE_POLICY_ROLLOUT_COUNTS_HPP
#define ENDIVEHINGE_POLICY_ROLLOUT_COUNTS_HPP

#include <cstdint> // uint64_t
#include <map>     // map
#include <string>  // string

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/ids.hpp>
#include <endivehinge/policy/rollout_route_counts.hpp>

namespace endivehinge
{

/// @brief report of the node beside a target, in response to a poll
struct rollout_counts
{
    node_name node;
    // version of the target
    software_version version;
    // process lifetime of the node; the counts begin anew with it
    incarnation process;
    // the node's clock, which counts suspension; later grants expire by it
    duration reported_at{0};
    // time since this node first knew of the order
    duration order_age{0};
    // highest term, and its latest instruction, that the gate obeys
    std::uint64_t term = 0;
    std::uint64_t sequence = 0;
    bool cold = false;
    // whether the gate rejects new requests
    bool closed = true;
    // requests accepted and not yet finished, including waiting ones
    std::uint64_t in_progress = 0;
    // by name of the route
    std::map<std::string, rollout_route_counts> routes;

    /// @brief sum over all routes
    [[nodiscard]] rollout_route_counts total() const;
};

} // namespace endivehinge

#endif

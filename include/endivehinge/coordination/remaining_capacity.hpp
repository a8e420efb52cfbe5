#ifndef ENDIVEHINGE_COORDINATION_REMAINING_CAPACITY_HPP
#define ENDIVEHINGE_COORDINATION_REMAINING_CAPACITY_HPP

#include <cstdint> // uint64_t
#include <vector>  // vector

#include <endivehinge/coordination/configuration.hpp>
#include <endivehinge/coordination/member.hpp>

namespace endivehinge
{

/// @brief the targets of a service before and after a change
struct service_capacity
{
    service_name service;
    std::uint64_t targets_before = 0;
    std::uint64_t targets_after = 0;
    std::uint64_t slots_before = 0;
    std::uint64_t slots_after = 0;
};

/// @brief what a change of the drains leaves of each service
/// @param members as a node knows them; those that take no work are left out
/// @param before the drains now
/// @param after the drains that are asked for
/// @return the services that lose targets, by name
/// @note pure; thread safety: any thread
[[nodiscard]] std::vector<service_capacity>
remaining_capacity(std::vector<member> const & members,
                   configuration const & before,
                   configuration const & after);

} // namespace endivehinge

#endif

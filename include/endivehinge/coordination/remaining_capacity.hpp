#ifndef ENDIVEHINGE_COORDINATION_REMAINING_CAPACITY_HPP
#define ENDIVEHINGE_COORDINATION_REMAINING_CAPACITY_HPP

#include <cstdint> // uint64_t
#include <vector>  // vector

#include <endivehinge/coordination/configuration.hpp>
#include <endivehinge/coordination/member.hpp>

namespace endivehinge
{

/// @brief number of targets and slots of a service before and after a change
struct service_capacity
{
    service_name service;
    std::uint64_t targets_before = 0;
    std::uint64_t targets_after = 0;
    std::uint64_t slots_before = 0;
    std::uint64_t slots_after = 0;
};

/// @brief computes the capacity that remains after a change of the drains
/// @param members a node's view of the members; those that are not alive or
///        accept no work do not count
/// @param before configuration with the current drains
/// @param after configuration with the requested drains
/// @return the services that lose targets, ordered by name
/// @note pure; thread safety: any thread
[[nodiscard]] std::vector<service_capacity>
remaining_capacity(std::vector<member> const & members,
                   configuration const & before,
                   configuration const & after);

} // namespace endivehinge

#endif

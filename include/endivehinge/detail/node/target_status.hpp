#ifndef ENDIVEHINGE_DETAIL_NODE_TARGET_STATUS_HPP
#define ENDIVEHINGE_DETAIL_NODE_TARGET_STATUS_HPP

#include <cstdint> // uint32_t

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/endpoint.hpp>

namespace endivehinge::detail
{

/// @brief what a target says of itself
enum class target_phase
{
    absent,
    cold,
    ready,
    draining,
};

/// @brief the target beside this node, as it last announced itself
struct target_status
{
    target_phase phase = target_phase::absent;
    endpoint address;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    // the run of the target; a new one starts cold
    std::uint64_t incarnation_number = 0;
    time_point announced_at;
};

} // namespace endivehinge::detail

#endif

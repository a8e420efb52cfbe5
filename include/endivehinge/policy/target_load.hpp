#ifndef ENDIVEHINGE_POLICY_TARGET_LOAD_HPP
#define ENDIVEHINGE_POLICY_TARGET_LOAD_HPP

#include <cstdint> // uint32_t

namespace endivehinge
{

/// @brief the load of one target as the node beside it sees it
struct target_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    // requests that may run at once
    std::uint32_t limit = 1;
    // time that work takes now, relative to the usual
    double slowdown = 1;
    // share of recent requests that failed, 0 to 1
    double failure_share = 0;
    // takes no new work: drains, is evacuated, or is not known
    bool closed = false;
};

} // namespace endivehinge

#endif

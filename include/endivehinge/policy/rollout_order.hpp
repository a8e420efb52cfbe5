#ifndef ENDIVEHINGE_POLICY_ROLLOUT_ORDER_HPP
#define ENDIVEHINGE_POLICY_ROLLOUT_ORDER_HPP

#include <endivehinge/core/clock.hpp>
#include <endivehinge/core/ids.hpp>

namespace endivehinge
{

/// @brief an operator's order to bring a service to another version
struct rollout_order
{
    service_name service;
    software_version target_version;
    // time limit for a conclusion, from the order; may be 0 or huge
    duration length{0};

    friend bool operator==(rollout_order const & a, rollout_order const & b)
    {
        return a.service == b.service && a.target_version == b.target_version &&
               a.length == b.length;
    }

    friend bool operator!=(rollout_order const & a, rollout_order const & b)
    {
        return !(a == b);
    }
};

} // namespace endivehinge

#endif

#ifndef ENDIVEHINGE_POLICY_ALLOTMENT_DEPARTURE_HPP
#define ENDIVEHINGE_POLICY_ALLOTMENT_DEPARTURE_HPP

#include <endivehinge/core/ids.hpp>

namespace endivehinge
{

/// @brief states that a node's target has left, so that the node owns nothing
///
/// It holds for the entry of this target: the node becomes a member again with
/// its next target.
struct allotment_departure
{
    node_name node;
    target_id target;
};

} // namespace endivehinge

#endif

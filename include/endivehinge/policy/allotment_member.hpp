#ifndef ENDIVEHINGE_POLICY_ALLOTMENT_MEMBER_HPP
#define ENDIVEHINGE_POLICY_ALLOTMENT_MEMBER_HPP

#include <endivehinge/core/endpoint.hpp>
#include <endivehinge/core/ids.hpp>

namespace endivehinge
{

/// @brief a node that may own accounts, as its entry in the fleet view states
struct allotment_member
{
    node_name node;
    endpoint address;
    // the incarnation of the target beside it
    target_id target;
    failure_domain domain;
};

} // namespace endivehinge

#endif
